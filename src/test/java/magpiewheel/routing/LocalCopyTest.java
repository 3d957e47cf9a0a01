package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When the router's own copy is served. */
class LocalCopyTest extends RequestRouterFixture {
    /** A copy of one's own serves what no cache is known to hold: a fill would cost more and come later. */
    @Test
    void aLocalCopyIsServedWhereNoCacheIsKnownToHoldOne() {
        ask(1, PURE, 77, 60 * SECOND);
        assertEquals(List.of(1L), router.own);
        assertEquals(0, attempts(1));
        ask(2, PURE, 77);
        answer(2, 0, AttemptResult.OK, CacheStatus.FILLED);
        ask(3, PURE, 77, 60 * SECOND);
        assertEquals(1, attempts(3), "now a cache is known to hold it");
        answer(3, 0, AttemptResult.REJECTED, CacheStatus.UNKNOWN);
        assertEquals(1, attempts(3));
        assertTrue(router.own.contains(3L), "and where that can't serve it, the own copy does");
    }

    /** Its age counts from the origin, and against every purge known: caches drop theirs in time, this one stays. */
    @Test
    void aLocalCopyIsNeverStaleNorOlderThanAPurge() {
        ask(1, FRESH, 77, 9 * SECOND);
        assertEquals(1, attempts(1), "past its fresh time");
        ask(2, FRESH, 78, 7 * SECOND);
        assertTrue(router.own.contains(2L));
        rules.objectsPurged(now, new Purge(0, 99, 0));
        rules.objectsPurged(now, new Purge(0, 0, 6));
        now += 60 * SECOND;
        ask(3, PURE, 99, 61 * SECOND);
        assertEquals(1, attempts(3), "older than a purge of a minute ago");
        ask(4, PURE, 99, 59 * SECOND);
        assertTrue(router.own.contains(4L));
        rules.requestArrived(
                now,
                RoutingRequest.builder(5, PURE, 1_234)
                        .group(6)
                        .timeBudgetUs(2 * SECOND)
                        .build(),
                new LocalCopy(61 * SECOND, 100_000, 25_000));
        assertEquals(1, attempts(5), "its group was purged");
    }

    /** The own link carries few transfers at once: beyond what it gets through in time, requests go to the caches. */
    @Test
    void aLocalCopyIsServedOnlyWhileTheLinkCarriesItInTime() {
        for (long id = 1; id <= 100; id++) {
            ask(id, PURE, 1_000 + id, SECOND);
        }
        assertTrue(router.own.size() >= 15 && router.own.size() < 60, "served by itself: " + router.own.size());
        now += 5 * SECOND;
        ask(101, PURE, 2_000, SECOND);
        assertTrue(router.own.contains(101L), "it is free again");
    }

    @Test
    void aPurgeLimitsTheAgeOfCopiesUntilItIsComplete() {
        rules.objectsPurged(now, new Purge(200_000, 77, 5));
        assertEquals(199_000, ask(1, PURE, 77).plan().maxAgeUs());
        answer(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        rules.objectsPurged(now, new Purge(0, 0, 5));
        long limit = ask(2, PURE, 77).plan().maxAgeUs();
        assertTrue(limit > 0 && limit <= 1_000, "0 would stand for any age");
        assertTrue(ask(3, FRESH, 79).plan().maxAgeUs() <= 8 * SECOND);
        now += 60 * SECOND;
        assertEquals(0, ask(4, PURE, 77).plan().maxAgeUs());
    }
}
