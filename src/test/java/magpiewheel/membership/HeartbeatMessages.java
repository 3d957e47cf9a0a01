package magpiewheel.membership;

import java.util.ArrayList;
import java.util.List;

/** Heartbeats of serving members, for tests of the packages that build on the membership. */
public final class HeartbeatMessages {
    private HeartbeatMessages() {}

    /** Returns the first message that a member sends once it serves. */
    public static byte[] fromServingMember(int memberId, int memberCount, int zone, long now) {
        List<byte[]> sent = new ArrayList<>();
        MembershipProtocol membership = new MembershipProtocol(
                now,
                new MembershipConfig(
                        memberId, memberCount, zone, 1, new int[0], 50_000, Math.max(1, now / 1_000), false),
                new DatagramSender() {
                    @Override
                    public void send(int to, byte[] message) {
                        sent.add(message);
                    }

                    @Override
                    public void probe(int to, long at) {}
                });
        membership.startServing(now);
        membership.tick(now);
        return sent.get(0);
    }
}
