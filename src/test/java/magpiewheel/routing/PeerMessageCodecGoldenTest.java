package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The bytes of messages between the routers of a zone, which other versions of the program read. */
class PeerMessageCodecGoldenTest {
    private static final long CACHE = 0x0a124a07c32bL;

    private static String hex(PeerMessage message) {
        return PeerMessageCodec.encode(message).stream()
                .map(HexFormat.of()::formatHex)
                .collect(Collectors.joining(" "));
    }

    @Test
    void bytesOfLoadsFillsAndHolders() {
        PeerMessage message = new PeerMessage(
                7,
                1_764_576_000_123_456L,
                3,
                12.25,
                0.6,
                List.of(new EndpointLoad(CACHE, 5, 9.5), new EndpointLoad(CACHE + 1, 300, 2_000)),
                List.of(new HolderHint(0x1122334455667788L, 4, CACHE, 300, 120)),
                List.of(
                        new HolderHint(0x99L, PeerMessageCodec.UNKNOWN_PART, CACHE, 5, 50),
                        new HolderHint(-2L, 0, CACHE, 65_535, 90_000)));
        assertEquals(
                "040007000644df5daaa2400303109901020a124a07c32b0502600a124a07c32cffffff1122334455"
                        + "6677880a124a07c32b012c030400000000000000990a124a07c32b000501fffffffffffffffffe0a"
                        + "124a07c32bffffff00",
                hex(message));
    }

    @Test
    void hintsBeyondOneDatagramAreSplitIntoSeveral() {
        List<HolderHint> holders = IntStream.range(0, 14)
                .mapToObj(i -> new HolderHint(i, i, CACHE, 1, 50 * i))
                .toList();
        assertEquals(
                "040001000000000000000200004000020000000000000000000a124a07c32b000100000000000000"
                        + "0000010a124a07c32b0001010100000000000000000a124a07c32b0001000000000000000000010a"
                        + "124a07c32b0001010100000000000000020a124a07c32b0001020200000000000000030a124a07c3"
                        + "2b0001030300000000000000040a124a07c32b0001040400000000000000050a124a07c32b000105"
                        + "0500000000000000060a124a07c32b0001060600000000000000070a124a07c32b00010707000000"
                        + "00000000080a124a07c32b0001080800000000000000090a124a07c32b0001090900000000000000"
                        + "0a0a124a07c32b00010a0a 0400010000000000000002000040000000000000000000000b0a124a0"
                        + "7c32b00010b0b000000000000000c0a124a07c32b00010c0c000000000000000d0a124a07c32b000" + "10d0d",
                hex(new PeerMessage(1, 2, 0, 1, 0, List.of(), holders.subList(0, 2), holders)));
    }
}
