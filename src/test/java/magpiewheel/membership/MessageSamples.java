package magpiewheel.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.SimulatedFleet.Process;

/** Messages of a fleet, malformed copies of them, and the state that these must not change. */
final class MessageSamples {
    private static final long MS = SimulatedFleet.MS;

    private MessageSamples() {}

    /** Returns each message that the members send while one of them is killed and restarted. */
    static List<byte[]> messages(SimulatedFleet fleet, long us) {
        List<byte[]> messages = new ArrayList<>();
        fleet.onMessage = message -> messages.add(message.clone());
        fleet.kill(9);
        fleet.run(us);
        fleet.start(9, 20 * MS);
        fleet.run(us);
        fleet.onMessage = message -> {};
        return messages;
    }

    /**
     * Returns messages with other magic bytes or versions, empty, truncated and extended messages, and random bytes.
     */
    static List<byte[]> malformed(byte[] message, SplittableRandom random) {
        List<byte[]> malformed = new ArrayList<>();
        malformed.add(new byte[0]);
        for (int at = 0; at < 2; at++) {
            byte[] another = message.clone();
            another[at] += (byte) (1 + random.nextInt(255));
            malformed.add(another);
        }
        for (int i = 0; i < 6; i++) {
            malformed.add(Arrays.copyOf(message, random.nextInt(message.length)));
            malformed.add(Arrays.copyOf(message, message.length + 1 + random.nextInt(40)));
            byte[] garbage = new byte[1 + random.nextInt(300)];
            random.nextBytes(garbage);
            malformed.add(garbage);
        }
        return malformed;
    }

    /** Returns the complete state of a view as text. */
    static String describe(Process process) {
        StringBuilder all = new StringBuilder();
        MembershipProtocol view = process.membership;
        for (int member = 0; member < 10; member++) {
            all.append(view.status(member)).append(view.zone(member)).append(' ');
        }
        return all.append(view.verdict())
                .append(view.runningMembers())
                .append(view.servingAddresses(0))
                .append(view.digest())
                .append(' ')
                .append(view.quotaDivisor(process.clock()))
                .append(' ')
                .append(view.quotaDivisorIn(process.clock(), 0))
                .toString();
    }
}
