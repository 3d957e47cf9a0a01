package magpiewheel.region;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Golden bytes of the region messages, which other versions of the program must be able to read. */
class RegionMessageCodecGoldenTest {
    private static final RegionMessage.Header HEADER = new RegionMessage.Header(0x01020304, 9, 1_764_576_000_123L);

    private static String hex(RegionMessage message) {
        return HexFormat.of().formatHex(RegionMessageCodec.encode(message));
    }

    @Test
    void leaseRequest() {
        RegionMessage.Placement placement = new RegionMessage.Placement(102, 200, List.of(1L, 2L, 3L, 4L, 5L));
        assertEquals(
                "e1010102030400000000000000090000019ad8ecf87b0000000000000065000000000000000b0000"
                        + "00000000000c0000000d000000000000000e0000000000000066c804000000000000000100000000"
                        + "0000000200000000000000030000000000000004",
                hex(new RegionMessage.LeaseRequest(HEADER, 101, 11, 12, 13, 14, placement)));
    }

    @Test
    void vote() {
        RegionMessage.ParentReport report =
                new RegionMessage.ParentReport(101, 40_000, 0.1, 0.5, 0.9, 300, 7_000, 41_000);
        RegionMessage vote =
                new RegionMessage.Vote(HEADER, true, 3, 21, 22, 23, 1.5, 0x77L, 0.25, List.of(report, report));
        assertEquals(
                "e1020102030400000000000000090000019ad8ecf87b010003000000000000001500000000000000"
                        + "1600000000000000173fc0000000000000000000773e80000002000000000000006500009c401a80"
                        + "e6ff00001b5802000000000000006500009c401a80e6ff00001b5802",
                hex(vote));
    }

    @Test
    void suspicionOfTheLeader() {
        assertEquals(
                "e1030102030400000000000000090000019ad8ecf87b000000000000006500061a8003",
                hex(new RegionMessage.Suspicion(HEADER, 101, 400_000, 3)));
    }

    @Test
    void loadsAndClaims() {
        RegionMessage update = new RegionMessage.DirectoryUpdate(
                HEADER,
                List.of(new RegionMessage.ZoneLoad(2, 31, 4.5, -1), new RegionMessage.ZoneLoad(3, 32, 0, 1)),
                List.of(new RegionMessage.LeadershipClaim(5, 6, 7, 8.5, 9)));
        assertEquals(
                "e1040102030400000000000000090000019ad8ecf87b02010002000000000000001f40900000ff00"
                        + "030000000000000020000000000100000005000000000000000600000000000000074108000000000009",
                hex(update));
    }
}
