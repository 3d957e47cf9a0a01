package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
    private static PeerMessage message(int holderCount) {
        List<HolderHint> holders = new ArrayList<>();
        for (int i = 0; i < holderCount; i++) {
            holders.add(new HolderHint(1_000L + i, i, 0x0a124a07c32bL, 300, 50));
        }
        return new PeerMessage(
                7, 123_456_789L, 3, 12.25, 0.6, List.of(new EndpointLoad(0x0a124a07c32bL, 5, 9.5)), List.of(), holders);
    }

    @Test
    void encodedMessagesDecodeToTheSameContent() {
        List<byte[]> messages = PeerMessageCodec.encode(message(40));
        List<HolderHint> holders = new ArrayList<>();
        for (byte[] bytes : messages) {
            assertTrue(bytes.length <= PeerMessageCodec.MAX_MESSAGE_BYTES);
            PeerMessage decoded = PeerMessageCodec.decode(bytes);
            assertEquals(
                    message(0),
                    new PeerMessage(
                            decoded.zone(),
                            decoded.sentAtUs(),
                            decoded.fillsInFlight(),
                            decoded.fillLimit(),
                            decoded.originLateRatio(),
                            decoded.loads(),
                            List.of(),
                            List.of()));
            holders.addAll(decoded.holders());
        }
        assertEquals(message(40).holders(), holders);
    }

    /** Guards against limits truncated to whole numbers, which pulled the average limit of a zone down. */
    @Test
    void limitsKeepTheirFractions() {
        assertEquals(
                12.25,
                PeerMessageCodec.decode(PeerMessageCodec.encode(message(0)).get(0))
                        .fillLimit());
    }

    @Test
    void unknownVersionsAreRejectedAndTruncatedMessagesDoNotThrow() {
        byte[] valid = PeerMessageCodec.encode(message(2)).get(0);
        byte[] unknownVersion = valid.clone();
        unknownVersion[0] = 1;
        assertNull(PeerMessageCodec.decode(unknownVersion));
        for (int length = 0; length < valid.length; length++) {
            byte[] truncated = Arrays.copyOf(valid, length);
            PeerMessage message = assertDoesNotThrow(() -> PeerMessageCodec.decode(truncated));
            assertTrue(
                    message == null || message.holders().size() < 2,
                    "all holders were decoded from a message truncated to " + length + " bytes");
        }
    }

    /** During a rollout, routers of the previous release still send messages, which report no fills in flight. */
    @Test
    void messageOfThePreviousVersionIsDecoded() {
        byte[] current = PeerMessageCodec.encode(message(1)).get(0);
        byte[] previous = new byte[current.length - 1];
        System.arraycopy(current, 0, previous, 0, 15);
        System.arraycopy(current, 16, previous, 15, current.length - 16);
        previous[0] = 3;
        previous[previous.length - 1] = 50;
        previous[previous.length - 2] = 0;
        PeerMessage decoded = PeerMessageCodec.decode(previous);
        HolderHint holder = new HolderHint(1_000, PeerMessageCodec.UNKNOWN_PART, 0x0a124a07c32bL, 300, 50);
        assertEquals(
                new PeerMessage(7, 123_456_789L, 3, 12.25, 0.6, message(1).loads(), List.of(), List.of(holder)),
                decoded);
        previous[0] = 2;
        assertNull(PeerMessageCodec.decode(previous));
    }
}
