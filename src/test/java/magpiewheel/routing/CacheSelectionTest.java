package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Which cache a read goes to. */
class CacheSelectionTest extends RequestRouterFixture {
    @Test
    void aReadFollowsTheHashUntilAPeerReportsAHolder() {
        long hashed = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(hashed, submit(2, READ, 77).node());
        long other = hashed % 4 + 1;
        now += 10_000;
        router.peerMessageReceived(now, 1, encodeHolderHint(0, now, new HolderHint(77, 0, other, 5, 0)));
        now += 1;
        assertEquals(other, submit(3, READ, 77).node());
    }

    /**
     * A holder that spills stays the holder: else the other parts of its object follow whoever took the spill over, and
     * are filled there a second time.
     */
    @Test
    void aSpilledRequestDoesNotMigrateTheHolder() {
        long holder = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.HIT);
        long id = 2;
        while (submit(id, READ, 77).node() == holder) {
            id++;
        }
        for (long held = 2; held < id; held++) {
            endAttempt(held, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        endAttempt(id, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(holder, submit(id + 1, READ, 77).node());
    }

    /** With eight in hand at each cache, a holder that gets a quarter more than that and one spills. */
    @Test
    void aHolderSpillsAQuarterAboveTheMeanLoad() {
        long holder = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.HIT);
        List<EndpointLoad> loads = LongStream.rangeClosed(1, 4)
                .mapToObj(node -> new EndpointLoad(node, 8, 16))
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
        long hashed = submit(1, READ, 77).node();
        long other = hashed % 4 + 1;
        router.objectsPurged(now, new Purge(0, 0, 5));
        router.peerMessageReceived(now + 1, 1, encodeHolderHint(0, now, new HolderHint(77, 0, other, 5, 1000)));
        now += 2;
        assertEquals(hashed, submit(2, READ, 77).node());
    }

    @Test
    void drainingAndRemovedEndpointsGetNothing() {
        long hashed = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.HIT);
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(
                        endpoint(hashed, 0, 0, 0, EndpointState.DRAINING),
                        endpoint(PARENT_A, 1, 1, 0, EndpointState.REMOVED)));
        for (long id = 2; id < 60; id++) {
            RecordingActions.StartedAttempt sent = submit(id, READ, id % 2 == 0 ? 77 : id);
            assertNotEquals(hashed, sent.node());
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

    /** A client that is sent to a cache by name comes by itself, so the cold budget must count it. */
    @Test
    void aLookupFollowsReportsDrainsAndTheSlowStartBudget() {
        long hashed = router.selectCache(now, 0, 77);
        assertEquals(hashed, submit(1, READ, 77).node());
        long other = hashed % 4 + 1;
        router.peerMessageReceived(now, 1, encodeHolderHint(0, now, new HolderHint(77, 0, other, 5, 0)));
        assertEquals(other, router.selectCache(now + 1, 0, 77));
        router.objectsPurged(now + 2, new Purge(0, 0, 5));
        assertEquals(hashed, router.selectCache(now + 3, 0, 77), "a hint older than its group's purge is none");
        router.endpointsChanged(
                now, EndpointListMode.DELTA, List.of(endpoint(hashed, 0, 0, 0, EndpointState.DRAINING)));
        assertNotEquals(hashed, router.selectCache(now, 0, 77));
        now += 10 * SECOND;
        router.endpointsChanged(now, EndpointListMode.FULL, List.of(endpoint(1, 0, 0, now, EndpointState.READY)));
        int given = 0;
        while (given < 1_000 && router.selectCache(now, 0, 77) == 1) {
            given++;
        }
        assertTrue(given > 0 && given < 100, "a cold cache's budget ends: " + given);
        assertEquals(RoutingPolicy.NO_CACHE, router.selectCache(now, 1, 77), "no cache is there");
    }

    /** Found day ha85063: writes waiting for a slow origin must not crowd hits out of sound caches. */
    @Test
    void writesThatWaitForTheOriginTakeNoCapacityOfCaches() {
        for (long id = 1; id <= 400; id++) {
            submit(id, KEYED_WRITE, id);
        }
        router.requestArrived(now, request(1_000, READ, 77));
        assertEquals(1, attemptCount(1_000));
        assertTrue(actions.rejected.isEmpty());
    }

    /** zone_loss: half of all requests were refused while parents and the branch's link stood idle. */
    @Test
    void withoutCachesAReadBypassesThemToAParent() {
        RecordingActions seen = new RecordingActions();
        RequestRouter past = startRouter(bypassSettings(), seen);
        past.endpointsChanged(now, EndpointListMode.FULL, endpoints().subList(4, 7));
        for (long id = 1; id <= 60; id++) {
            past.requestArrived(now, request(id, READ, id));
        }
        assertTrue(seen.attempts.stream()
                .allMatch(s -> s.node() != ORIGIN && s.plan().fillSource() == ORIGIN));
        // 20 fills at first, as the link allows; the rest would only crowd it.
        assertEquals(20, seen.attempts.size());
        assertEquals(40, seen.rejected.size());
    }

    @Test
    void anObjectIsRetainedLongerOnceItIsRequestedAgain() {
        assertEquals(1, submit(1, READ, 77).plan().retentionRank());
        assertEquals(2, submit(2, READ, 77).plan().retentionRank());
    }
}
