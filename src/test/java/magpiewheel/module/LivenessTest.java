package magpiewheel.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LivenessTest {
    private static final long LATE = 5_000;
    private final Liveness here = new Liveness(0, 1, 100);
    private final Liveness there = new Liveness(1, 1, 101);
    private final Liveness elsewhere = new Liveness(2, 2, 102);
    private long now = 9_000_000;

    private void hear(Liveness from, int number, long sentAt) {
        here.heard(sentAt + LATE, number, from.beat(sentAt));
    }

    @Test
    void onlyReadyFrontsOfTheZoneAreNamedWhileTheyBeat() {
        assertEquals(List.of(), here.live(now, 1));
        here.ready();
        assertEquals(List.of(100), here.live(now, 1));
        hear(there, 1, now);
        assertEquals(List.of(100), here.live(now + LATE, 1), "not ready yet");
        there.ready();
        elsewhere.ready();
        hear(there, 1, now += 1);
        hear(elsewhere, 2, now);
        assertEquals(List.of(100, 101), here.live(now + LATE, 1));
        assertEquals(List.of(102), here.live(now + LATE, 2));
        assertEquals(List.of(100, 101), here.live(now + 4 * Liveness.BEAT_US, 1), "some beats may be lost");
        assertEquals(List.of(100), here.live(now + 300_000, 1));
    }

    @Test
    void aGoodbyeHoldsAgainstBeatsThatCameByALongerWay() {
        there.ready();
        byte[] before = there.beat(now);
        there.leave(true);
        hear(there, 1, now + 1);
        here.heard(now + 2 * LATE, 1, before);
        assertEquals(List.of(), here.live(now + 2 * LATE, 1));
    }

    /** A beat that was held up counts from when it was sent: the dead stay dead. */
    @Test
    void aLateBeatDoesNotReviveTheDead() {
        there.ready();
        hear(there, 1, now);
        byte[] last = there.beat(now + 1_000);
        here.heard(now + 400_000, 1, last);
        assertEquals(List.of(), here.live(now + 400_000, 1));
    }

    @Test
    void garbageIsNoBeat() {
        assertFalse(Liveness.isBeat(new byte[16]));
        assertFalse(Liveness.isBeat(new byte[] {0x4c}));
        assertTrue(Liveness.isBeat(there.beat(now)));
        here.heard(now, 1, new byte[] {1, 2});
        assertEquals(List.of(), here.live(now, 1));
    }
}
