package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class BoundedStalenessReadsTest {
    private static final long NOW = 1_764_576_000_000_000L;
    private static final long MS = 1_000;
    private static final long FRESH = 5_000 * MS;
    private static final long GRACE = 10_000 * MS;
    private final BoundedStalenessReads reads =
            new BoundedStalenessReads(NOW - 10_000 * MS, 0, 0, new FixedMembershipView(), (router, message) -> {});

    /** A fetch of 10 ms shows that the origin's clock is about 300 ms ahead; discovery was heard throughout. */
    private void makeOriginClockAndDiscoveryKnown() {
        reads.responseReceived(NOW - 20 * MS, NOW - 10 * MS, NOW + 285 * MS, true);
        reads.discoveryHeard(NOW - 2_000 * MS);
        reads.discoveryHeard(NOW);
    }

    @Test
    void marksNeedNoOriginClock() {
        reads.discoveryHeard(NOW - 2_000 * MS);
        reads.discoveryHeard(NOW);
        StalenessBound bound = reads.boundOf(NOW, new ReadHint(0, NOW / MS + 400, 0, true), FRESH, GRACE, 0);
        assertTrue(bound.provable());
        assertFalse(reads.accepts(NOW, bound, NOW + 399 * MS));
        assertTrue(reads.accepts(NOW, bound, NOW + 400 * MS));
    }

    @Test
    void maxAgeIsCheckedAgainstLatestOriginTime() {
        makeOriginClockAndDiscoveryKnown();
        StalenessBound bound = reads.boundOf(NOW, new ReadHint(1_000 * MS, 0, 0, true), FRESH, GRACE, 0);
        assertTrue(bound.provable());
        // The origin time plus its resolution of 1 ms, advanced by the 20 ms since sending, plus 24 us of drift.
        long latest = NOW + 285 * MS + 20 * MS + MS + 24;
        assertEquals(latest - 1_000 * MS, bound.oldestAcceptableUs());
        assertFalse(reads.accepts(NOW, bound, latest - 1_000 * MS - 1));
        assertTrue(reads.accepts(NOW, bound, latest - 1_000 * MS));
        assertTrue(reads.maxAgeUs(NOW, bound) <= 1_000 * MS);
        assertEquals(0, reads.violatingAgeMs(NOW, bound, latest - 1_000 * MS));
        assertEquals(1_001, reads.violatingAgeMs(NOW, bound, latest - 1_000 * MS - 1));
    }

    @Test
    void withUnknownClockOnlyAnOriginResponseProvesMaxAge() {
        reads.discoveryHeard(NOW - 2_000 * MS);
        reads.discoveryHeard(NOW);
        ReadHint hint = new ReadHint(1_000 * MS, 0, 0, true);
        StalenessBound strict = reads.boundOf(NOW, hint, FRESH, GRACE, 0);
        assertTrue(strict.provable() && reads.requiresOriginResponse(NOW, strict));
        assertFalse(reads.accepts(NOW, strict, NOW));
        StalenessBound prefer = reads.boundOf(NOW, new ReadHint(1_000 * MS, 0, 0, false), FRESH, GRACE, 0);
        assertFalse(reads.accepts(NOW, prefer, NOW));
        assertFalse(reads.requiresOriginResponse(NOW, prefer));
        assertEquals(-1, reads.violatingAgeMs(NOW, prefer, NOW));
        // A parent's copy, or one that joined another fill, may have been issued before this request.
        reads.responseReceived(NOW + 1 * MS, NOW + 900 * MS, NOW - 399 * MS, false);
        assertFalse(reads.accepts(NOW + 900 * MS, strict, NOW - 399 * MS));
        // The origin issued it for a request that was sent after the read arrived: young enough by any clock.
        reads.responseReceived(NOW + 1 * MS, NOW + 900 * MS, NOW - 399 * MS, true);
        assertTrue(reads.accepts(NOW + 900 * MS, prefer, NOW - 399 * MS));
        assertTrue(reads.accepts(NOW + 900 * MS, strict, NOW - 399 * MS));
        assertFalse(reads.requiresOriginResponse(NOW + 900 * MS, strict));
    }

    /**
     * One response makes the origin's clock known; a second read would only load the origin. Marks do not need the
     * clock while discovery is heard.
     */
    @Test
    void onlyOneReadAtATimeLearnsTheOriginClock() {
        reads.discoveryHeard(NOW - 2_000 * MS);
        reads.discoveryHeard(NOW);
        assertTrue(BoundedStalenessReads.mayReadOrigin(0));
        assertFalse(BoundedStalenessReads.mayReadOrigin(1));
        ReadHint mark = new ReadHint(0, NOW / MS - 100, 0, true);
        assertFalse(reads.requiresOriginResponse(NOW, reads.boundOf(NOW, mark, FRESH, GRACE, 0)));
        long late = NOW + 3_000 * MS;
        assertTrue(
                reads.requiresOriginResponse(late, reads.boundOf(late, mark, FRESH, GRACE, 0)),
                "without discovery the age is bounded, which needs the clock");
    }

    @Test
    void readWithoutHintIsUnbounded() {
        assertEquals(StalenessBound.NONE, reads.boundOf(NOW, ReadHint.NONE, FRESH, GRACE, NOW));
        assertEquals(0, reads.maxAgeUs(NOW, StalenessBound.NONE));
        assertTrue(reads.accepts(NOW, StalenessBound.NONE, 0));
        assertEquals(0, reads.preferredReplica(NOW, ReadHint.NONE, 1, 0, List.of(1L, 2L), StalenessBound.NONE));
    }
}
