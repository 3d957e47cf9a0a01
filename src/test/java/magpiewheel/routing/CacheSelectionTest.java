package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests of the selection of a cache for a read. */
class CacheSelectionTest extends RequestRouterFixture {
    @Test
    void aReadFollowsTheHashUntilAPeerReportsAHolder() {
        long hashedCache = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(hashedCache, submit(2, READ, 77).node());
        long otherCache = hashedCache % 4 + 1;
        now += 10_000;
        router.peerMessageReceived(now, 1, encodeHolderHint(0, now, new HolderHint(77, 0, otherCache, 5, 0)));
        now += 1;
        assertEquals(otherCache, submit(3, READ, 77).node());
    }

    /**
     * A holder that spills a request stays the holder. Otherwise requests for the other parts of the object would
     * follow the spilled request to another cache, and the parts would be filled there a second time.
     */
    @Test
    void aSpilledRequestDoesNotMigrateTheHolder() {
        long holder = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.HIT);
        long id = 2;
        while (submit(id, READ, 77).node() == holder) {
            id++;
        }
        for (long open = 2; open < id; open++) {
            endAttempt(open, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        endAttempt(id, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(holder, submit(id + 1, READ, 77).node());
    }

    /** With eight attempts in flight at each cache, the holder spills above 1.25 times the mean load plus one. */
    @Test
    void aHolderSpillsAQuarterAboveTheMeanLoad() {
        long holder = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.HIT);
        List<EndpointLoad> loads = LongStream.rangeClosed(1, 4)
                .mapToObj(cacheId -> new EndpointLoad(cacheId, 8, 16))
                .toList();
        PeerMessage message = new PeerMessage(0, now, 0, 16, 0, loads, List.of(), List.of());
        PeerMessageCodec.encode(message).forEach(bytes -> router.peerMessageReceived(now, 1, bytes));
        long id = 2;
        while (submit(id, READ, 77).node() == holder) {
            id++;
        }
        assertEquals(5, id - 2, "8 + 5 is the first above 1.25 times (1 + (32 + 5) / 4)");
    }

    @Test
    void aReportOlderThanAPurgeIsIgnored() {
        long hashedCache = submit(1, READ, 77).node();
        long otherCache = hashedCache % 4 + 1;
        router.objectsPurged(now, new Purge(0, 0, 5));
        router.peerMessageReceived(now + 1, 1, encodeHolderHint(0, now, new HolderHint(77, 0, otherCache, 5, 1000)));
        now += 2;
        assertEquals(hashedCache, submit(2, READ, 77).node());
    }

    @Test
    void drainingAndRemovedEndpointsGetNoRequests() {
        long hashedCache = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.HIT);
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(
                        endpoint(hashedCache, 0, 0, 0, EndpointState.DRAINING),
                        endpoint(PARENT_A, 1, 1, 0, EndpointState.REMOVED)));
        for (long id = 2; id < 60; id++) {
            RecordingActions.StartedAttempt sent = submit(id, READ, id % 2 == 0 ? 77 : id);
            assertNotEquals(hashedCache, sent.node());
            assertNotEquals(PARENT_A, sent.plan().fillSource());
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }

    @Test
    void anEndpointMissingFromACompleteListIsRemoved() {
        router.endpointsChanged(now, EndpointListMode.FULL, endpoints().subList(1, 7));
        for (long id = 1; id < 60; id++) {
            assertNotEquals(1, submit(id, READ, id).node());
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }

    /** A client connects directly to the cache that was selected for it, so the slow-start budget must count it. */
    @Test
    void selectCacheFollowsHolderHintsDrainsAndTheSlowStartBudget() {
        long hashedCache = router.selectCache(now, 0, 77);
        assertEquals(hashedCache, submit(1, READ, 77).node());
        long otherCache = hashedCache % 4 + 1;
        router.peerMessageReceived(now, 1, encodeHolderHint(0, now, new HolderHint(77, 0, otherCache, 5, 0)));
        assertEquals(otherCache, router.selectCache(now + 1, 0, 77));
        router.objectsPurged(now + 2, new Purge(0, 0, 5));
        assertEquals(
                hashedCache, router.selectCache(now + 3, 0, 77), "a hint older than the purge of its group is ignored");
        router.endpointsChanged(
                now, EndpointListMode.DELTA, List.of(endpoint(hashedCache, 0, 0, 0, EndpointState.DRAINING)));
        assertNotEquals(hashedCache, router.selectCache(now, 0, 77));
        now += 10 * SECOND;
        router.endpointsChanged(now, EndpointListMode.FULL, List.of(endpoint(1, 0, 0, now, EndpointState.READY)));
        int selected = 0;
        while (selected < 1_000 && router.selectCache(now, 0, 77) == 1) {
            selected++;
        }
        assertTrue(selected > 0 && selected < 100, "the slow-start budget of a cold cache is limited: " + selected);
        assertEquals(RoutingPolicy.NO_CACHE, router.selectCache(now, 1, 77), "zone 1 has no caches");
    }

    /** Writes that waited for a slow origin displaced hits at healthy caches (simulation ha85063). */
    @Test
    void writesWaitingForTheOriginDoNotUseCacheCapacity() {
        for (long id = 1; id <= 400; id++) {
            submit(id, KEYED_WRITE, id);
        }
        router.requestArrived(now, request(1_000, READ, 77));
        assertEquals(1, attemptCount(1_000));
        assertTrue(actions.rejected.isEmpty());
    }

    /**
     * Without caches in its zone, a router rejected half of all requests while the parents and the zone's link were
     * idle (simulation zone_loss).
     */
    @Test
    void withoutCachesAReadBypassesThemToAParent() {
        RecordingActions recorded = new RecordingActions();
        RequestRouter bypassing = startRouter(bypassSettings(), recorded);
        bypassing.endpointsChanged(now, EndpointListMode.FULL, endpoints().subList(4, 7));
        for (long id = 1; id <= 60; id++) {
            bypassing.requestArrived(now, request(id, READ, id));
        }
        assertTrue(recorded.attempts.stream()
                .allMatch(s -> s.node() != ORIGIN && s.plan().fillSource() == ORIGIN));
        // The initial fill limit is 20, twice the transfers of the link; further requests are rejected.
        assertEquals(20, recorded.attempts.size());
        assertEquals(40, recorded.rejected.size());
    }

    @Test
    void anObjectIsRetainedLongerOnceItIsRequestedAgain() {
        assertEquals(1, submit(1, READ, 77).plan().retentionRank());
        assertEquals(2, submit(2, READ, 77).plan().retentionRank());
    }
}
