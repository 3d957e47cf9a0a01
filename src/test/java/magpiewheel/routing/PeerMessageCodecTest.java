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
    private static PeerMessage message(int holders) {
        List<HolderHint> list = new ArrayList<>();
        for (int i = 0; i < holders; i++) {
            list.add(new HolderHint(1_000L + i, i, 0x0a124a07c32bL, 300, 50));
        }
        return new PeerMessage(
                7, 123_456_789L, 3, 12.25, 0.6, List.of(new EndpointLoad(0x0a124a07c32bL, 5, 9.5)), List.of(), list);
    }

    @Test
    void whatIsToldIsHeard() {
        List<byte[]> messages = PeerMessageCodec.encode(message(40));
        List<HolderHint> heard = new ArrayList<>();
        for (byte[] bytes : messages) {
            assertTrue(bytes.length <= PeerMessageCodec.MAX_MESSAGE_BYTES);
            PeerMessage one = PeerMessageCodec.decode(bytes);
            assertEquals(
                    message(0),
                    new PeerMessage(
                            one.zone(),
                            one.sentAtUs(),
                            one.fillsInFlight(),
                            one.fillLimit(),
                            one.originLateRatio(),
                            one.loads(),
                            List.of(),
                            List.of()));
            heard.addAll(one.holders());
        }
        assertEquals(message(40).holders(), heard);
    }

    /** Whole limits, cut off, pulled the average of a location down (kayal-offices-later big-1). */
    @Test
    void aLimitIsNotCutToAWholeNumber() {
        assertEquals(
                12.25,
                PeerMessageCodec.decode(PeerMessageCodec.encode(message(0)).get(0))
                        .fillLimit());
    }

    @Test
    void otherVersionsAndCutMessagesArePassedOver() {
        byte[] good = PeerMessageCodec.encode(message(2)).get(0);
        byte[] older = good.clone();
        older[0] = 1;
        assertNull(PeerMessageCodec.decode(older));
        for (int length = 0; length < good.length; length++) {
            byte[] cut = Arrays.copyOf(good, length);
            PeerMessage message = assertDoesNotThrow(() -> PeerMessageCodec.decode(cut));
            assertTrue(message == null || message.holders().size() < 2, "cut to " + length);
        }
    }

    /** During a release fronts of the version before still talk: their messages tell of no fills on their way. */
    @Test
    void aMessageOfTheVersionBeforeIsHeard() {
        byte[] now = PeerMessageCodec.encode(message(1)).get(0);
        byte[] before = new byte[now.length - 1];
        System.arraycopy(now, 0, before, 0, 15);
        System.arraycopy(now, 16, before, 15, now.length - 16);
        before[0] = 3;
        before[before.length - 1] = 50;
        before[before.length - 2] = 0;
        PeerMessage heard = PeerMessageCodec.decode(before);
        HolderHint told = new HolderHint(1_000, PeerMessageCodec.UNKNOWN_PART, 0x0a124a07c32bL, 300, 50);
        assertEquals(
                new PeerMessage(7, 123_456_789L, 3, 12.25, 0.6, message(1).loads(), List.of(), List.of(told)), heard);
        before[0] = 2;
        assertNull(PeerMessageCodec.decode(before));
    }
}
