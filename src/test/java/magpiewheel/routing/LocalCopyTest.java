package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when the router's local copy is served. */
class LocalCopyTest extends RequestRouterFixture {
    /** A local copy is served if no cache is known to hold the object: a fill costs more and takes longer. */
    @Test
    void aLocalCopyIsServedWhereNoCacheIsKnownToHoldOne() {
        submit(1, READ, 77, 60 * SECOND);
        assertEquals(List.of(1L), actions.servedLocally);
        assertEquals(0, attemptCount(1));
        submit(2, READ, 77);
        endAttempt(2, 0, AttemptResult.OK, CacheStatus.FILLED);
        submit(3, READ, 77, 60 * SECOND);
        assertEquals(1, attemptCount(3), "a cache is known to hold it now");
        endAttempt(3, 0, AttemptResult.REJECTED, CacheStatus.UNKNOWN);
        assertEquals(1, attemptCount(3));
        assertTrue(actions.servedLocally.contains(3L), "the local copy is served if the cache rejects the request");
    }

    /** The age counts from the origin, against purges of any age: unlike copies in caches, a local copy stays. */
    @Test
    void aLocalCopyThatIsStaleOrOlderThanAPurgeIsNotServed() {
        submit(1, READ_WITH_FRESHNESS, 77, 9 * SECOND);
        assertEquals(1, attemptCount(1), "past its fresh time");
        submit(2, READ_WITH_FRESHNESS, 78, 7 * SECOND);
        assertTrue(actions.servedLocally.contains(2L));
        router.objectsPurged(now, new Purge(0, 99, 0));
        router.objectsPurged(now, new Purge(0, 0, 6));
        now += 60 * SECOND;
        submit(3, READ, 99, 61 * SECOND);
        assertEquals(1, attemptCount(3), "older than a purge of a minute ago");
        submit(4, READ, 99, 59 * SECOND);
        assertTrue(actions.servedLocally.contains(4L));
        router.requestArrived(
                now,
                RoutingRequest.builder(5, READ, 1_234)
                        .group(6)
                        .timeBudgetUs(2 * SECOND)
                        .build(),
                new LocalCopy(61 * SECOND, 100_000, 25_000));
        assertEquals(1, attemptCount(5), "its group was purged");
    }

    /** The router's link carries few transfers at once: requests that it cannot serve in time go to the caches. */
    @Test
    void aLocalCopyIsServedOnlyWhileTheLinkCarriesItInTime() {
        for (long id = 1; id <= 100; id++) {
            submit(id, READ, 1_000 + id, SECOND);
        }
        assertTrue(
                actions.servedLocally.size() >= 15 && actions.servedLocally.size() < 60,
                "served from local copies: " + actions.servedLocally.size());
        now += 5 * SECOND;
        submit(101, READ, 2_000, SECOND);
        assertTrue(actions.servedLocally.contains(101L), "the link is free again");
    }

    @Test
    void aPurgeLimitsTheAgeOfCopiesUntilItIsComplete() {
        router.objectsPurged(now, new Purge(200_000, 77, 5));
        assertEquals(199_000, submit(1, READ, 77).plan().maxAgeUs());
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        router.objectsPurged(now, new Purge(0, 0, 5));
        long limit = submit(2, READ, 77).plan().maxAgeUs();
        assertTrue(limit > 0 && limit <= 1_000, "0 would mean no limit");
        assertTrue(submit(3, READ_WITH_FRESHNESS, 79).plan().maxAgeUs() <= 8 * SECOND);
        now += 60 * SECOND;
        assertEquals(0, submit(4, READ, 77).plan().maxAgeUs());
    }
}
