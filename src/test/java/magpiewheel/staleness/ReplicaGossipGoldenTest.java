package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The exact bytes of the gossip datagrams, which other versions of the program must be able to read. */
class ReplicaGossipGoldenTest {
    private static final long NOW = 1_764_576_000_000_000L;
    private final List<String> sent = new ArrayList<>();
    private final BoundedStalenessReads reads = new BoundedStalenessReads(
            NOW,
            0,
            0,
            new FixedMembershipView(List.of(1)),
            (router, message) -> sent.add(router + " " + HexFormat.of().formatHex(message)));

    @Test
    void replicasStickyReplicasAndClockRequests() {
        ReadHint hint = new ReadHint(1_500_000, 0, 0x1122334455667788L, true);
        reads.replicasChanged(NOW, List.of(new Replica(5, false, 1, 0)));
        reads.responseServed(NOW, hint, 77, 3, 5, NOW - 1_000);
        reads.tick(NOW);
        assertEquals(
                "1 e2010301000644df5da8c000\n" + "1 e2010201000000000000004d00000000000000051122334455667788\n"
                        + "1 e2010101000000000000004d0000000000000005000644df5da8bc180003",
                String.join("\n", sent));
    }

    @Test
    void clockAnswersAndRememberedEntries() {
        ReadHint hint = new ReadHint(1_500_000, 0, 0x1122334455667788L, true);
        reads.replicasChanged(NOW, List.of(new Replica(5, false, 1, 0)));
        reads.responseServed(NOW, hint, 77, 3, 5, NOW - 1_000);
        reads.responseReceived(NOW - 20_000, NOW - 10_000, NOW - 5_000, true);
        reads.tick(NOW);
        sent.clear();
        reads.messageReceived(NOW + 100, 1, HexFormat.of().parseHex("e2010301" + "000644f0dd3c8000"));
        reads.tick(NOW + 300_000);
        assertEquals(
                "1 e2010400000644f0dd3c8000000644df5da8d3e0000644df5da8fefc\n" + "1 e2010301000644df5dad53e0\n"
                        + "1 e2010501000000000000004d00000000000000051122334455667788\n"
                        + "1 e2010101000000000000004d0000000000000005000644df5da8bc180003",
                String.join("\n", sent));
    }
}
