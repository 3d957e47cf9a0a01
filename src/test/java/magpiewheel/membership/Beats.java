package magpiewheel.membership;

import java.util.ArrayList;
import java.util.List;

/** Messages of fronts that serve, for tests of what stands on the membership. */
public final class Beats {
    private Beats() {}

    /** What a front of a branch says first, once it serves. */
    public static byte[] of(int front, int fronts, int zone, long now) {
        List<byte[]> sent = new ArrayList<>();
        MembershipProtocol one = new MembershipProtocol(
                now,
                new MembershipConfig(front, fronts, zone, 1, new int[0], 50_000, Math.max(1, now / 1_000), false),
                new DatagramSender() {
                    @Override
                    public void send(int to, byte[] message) {
                        sent.add(message);
                    }

                    @Override
                    public void probe(int to, long at) {}
                });
        one.startServing(now);
        one.tick(now);
        return sent.get(0);
    }
}
