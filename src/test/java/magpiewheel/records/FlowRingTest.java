package magpiewheel.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class FlowRingTest {
    private static boolean offer(FlowRing ring, long octets, long object) {
        return ring.offer(
                FlowRecord.Kind.FILL,
                1,
                2,
                -3,
                40_000,
                0x7f000001,
                65_535,
                octets,
                octets + 1,
                2,
                17,
                FlowRecord.SourceKind.ORIGIN,
                FlowRecord.End.CUT_OFF,
                FlowRecord.Hit.STALE,
                object,
                19,
                0xffff_fffeL);
    }

    @Test
    void aFlowComesOutAsItWentIn() {
        FlowRing ring = new FlowRing(4);
        assertTrue(offer(ring, 5, Long.MIN_VALUE));
        assertEquals(
                new FlowRecord(
                        FlowRecord.Kind.FILL,
                        1,
                        2,
                        -3,
                        40_000,
                        0x7f000001,
                        65_535,
                        5,
                        6,
                        1,
                        2,
                        17,
                        FlowRecord.SourceKind.ORIGIN,
                        FlowRecord.End.CUT_OFF,
                        FlowRecord.Hit.STALE,
                        Long.MIN_VALUE,
                        19,
                        0xffff_fffeL),
                ring.poll());
        assertNull(ring.poll());
        ring.offer(
                FlowRecord.Kind.SEND,
                1,
                2,
                3,
                4,
                5,
                6,
                7,
                0,
                -1,
                0,
                FlowRecord.SourceKind.NONE,
                FlowRecord.End.REFUSED,
                FlowRecord.Hit.NONE,
                0,
                -1,
                0);
        FlowRecord nameless = ring.poll();
        assertEquals(-1, nameless.profile());
        assertEquals(-1, nameless.part());
        assertEquals(FlowRecord.Kind.SEND, nameless.kind());
    }

    @Test
    void aFullRingLosesAndCountsAndGoesOn() {
        FlowRing ring = new FlowRing(4);
        for (int i = 0; i < 4; i++) {
            assertTrue(offer(ring, 1, i));
        }
        assertEquals(1, ring.filled());
        assertFalse(offer(ring, 100, 9));
        assertEquals(1, ring.lost());
        assertEquals(100, ring.lostOctets());
        assertEquals(0, ring.poll().object());
        assertTrue(offer(ring, 1, 4));
        for (int i = 1; i <= 4; i++) {
            assertEquals(i, ring.poll().object());
        }
        assertNull(ring.poll());
    }

    /** What many threads leave comes out once each and in each thread's order, or is counted as lost. */
    @Test
    void manyWritersOneReader() throws InterruptedException {
        FlowRing ring = new FlowRing(256);
        int writers = 4;
        int each = 50_000;
        List<Thread> threads = new ArrayList<>();
        for (int w = 0; w < writers; w++) {
            long base = (long) w << 32;
            Thread thread = new Thread(() -> {
                for (int i = 0; i < each; i++) {
                    offer(ring, 1, base + i);
                }
            });
            threads.add(thread);
            thread.start();
        }
        long[] last = new long[writers];
        Arrays.fill(last, -1);
        long got = 0;
        while (got + ring.lost() < (long) writers * each) {
            FlowRecord flow = ring.poll();
            if (flow != null) {
                int writer = (int) (flow.object() >>> 32);
                long number = flow.object() & 0xffff_ffffL;
                assertTrue(number > last[writer], "order of a writer");
                last[writer] = number;
                got++;
            } else {
                Thread.onSpinWait();
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertNull(ring.poll());
        assertEquals(ring.lost(), ring.lostOctets());
    }
}
