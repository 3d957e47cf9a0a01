package magpiewheel.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.SimulatedFleet.Process;

/** Messages that a fleet sends, malformed copies of them, and the state that they may not change. */
final class MessageSamples {
    private static final long MS = SimulatedFleet.MS;

    private MessageSamples() {}

    /** What the fleet's members send, each message once. */
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

    /** Other magic bytes and versions, garbage, truncated messages, and messages with trailing bytes. */
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

    /** The complete state of a view as text. */
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
