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
        long hashed = ask(1, PURE, 77).node();
        answer(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(hashed, ask(2, PURE, 77).node());
        long other = hashed % 4 + 1;
        now += 10_000;
        rules.peerMessageReceived(now, 1, told(0, now, new HolderHint(77, 0, other, 5, 0)));
        now += 1;
        assertEquals(other, ask(3, PURE, 77).node());
    }

    /**
     * A holder that spills stays the holder: else the other parts of its object follow whoever took the spill over, and
     * are filled there a second time.
     */
    @Test
    void aSpilledRequestDoesNotMigrateTheHolder() {
        long holder = ask(1, PURE, 77).node();
        answer(1, 0, AttemptResult.OK, CacheStatus.HIT);
        long id = 2;
        while (ask(id, PURE, 77).node() == holder) {
            id++;
        }
        for (long held = 2; held < id; held++) {
            answer(held, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        answer(id, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(holder, ask(id + 1, PURE, 77).node());
    }

    /** With eight in hand at each cache, a holder that gets a quarter more than that and one spills. */
    @Test
    void aHolderSpillsAQuarterAboveTheMeanLoad() {
        long holder = ask(1, PURE, 77).node();
        answer(1, 0, AttemptResult.OK, CacheStatus.HIT);
        List<EndpointLoad> loads = LongStream.rangeClosed(1, 4)
                .mapToObj(node -> new EndpointLoad(node, 8, 16))
                .toList();
        PeerMessage message = new PeerMessage(0, now, 0, 16, 0, loads, List.of(), List.of());
        PeerMessageCodec.encode(message).forEach(bytes -> rules.peerMessageReceived(now, 1, bytes));
        long id = 2;
        while (ask(id, PURE, 77).node() == holder) {
            id++;
        }
        assertEquals(5, id - 2, "8 + 5 is the first above 1.25 times (1 + (32 + 5) / 4)");
    }

    @Test
    void aReportOlderThanAPurgeIsIgnored() {
        long hashed = ask(1, PURE, 77).node();
        long other = hashed % 4 + 1;
        rules.objectsPurged(now, new Purge(0, 0, 5));
        rules.peerMessageReceived(now + 1, 1, told(0, now, new HolderHint(77, 0, other, 5, 1000)));
        now += 2;
        assertEquals(hashed, ask(2, PURE, 77).node());
    }

    @Test
    void drainingAndRemovedEndpointsGetNothing() {
        long hashed = ask(1, PURE, 77).node();
        answer(1, 0, AttemptResult.OK, CacheStatus.HIT);
        rules.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(
                        member(hashed, 0, 0, 0, EndpointState.DRAINING),
                        member(PARENT_A, 1, 1, 0, EndpointState.REMOVED)));
        for (long id = 2; id < 60; id++) {
            RecordingActions.Sent sent = ask(id, PURE, id % 2 == 0 ? 77 : id);
            assertNotEquals(hashed, sent.node());
            assertNotEquals(PARENT_A, sent.plan().fillSource());
            answer(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }

    @Test
    void anEndpointMissingFromACompleteListIsRemoved() {
        rules.endpointsChanged(now, EndpointListMode.FULL, fleet().subList(1, 7));
        for (long id = 1; id < 60; id++) {
            assertNotEquals(1, ask(id, PURE, id).node());
            answer(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }

    /** A client that is sent to a cache by name comes by itself, so the cold budget must count it. */
    @Test
    void aLookupFollowsReportsDrainsAndTheSlowStartBudget() {
        long hashed = rules.selectCache(now, 0, 77);
        assertEquals(hashed, ask(1, PURE, 77).node());
        long other = hashed % 4 + 1;
        rules.peerMessageReceived(now, 1, told(0, now, new HolderHint(77, 0, other, 5, 0)));
        assertEquals(other, rules.selectCache(now + 1, 0, 77));
        rules.objectsPurged(now + 2, new Purge(0, 0, 5));
        assertEquals(hashed, rules.selectCache(now + 3, 0, 77), "a hint older than its group's purge is none");
        rules.endpointsChanged(now, EndpointListMode.DELTA, List.of(member(hashed, 0, 0, 0, EndpointState.DRAINING)));
        assertNotEquals(hashed, rules.selectCache(now, 0, 77));
        now += 10 * SECOND;
        rules.endpointsChanged(now, EndpointListMode.FULL, List.of(member(1, 0, 0, now, EndpointState.READY)));
        int given = 0;
        while (given < 1_000 && rules.selectCache(now, 0, 77) == 1) {
            given++;
        }
        assertTrue(given > 0 && given < 100, "a cold cache's budget ends: " + given);
        assertEquals(RoutingPolicy.NO_CACHE, rules.selectCache(now, 1, 77), "no cache is there");
    }

    /** Found day ha85063: writes waiting for a slow origin must not crowd hits out of sound caches. */
    @Test
    void writesThatWaitForTheOriginTakeNoCapacityOfCaches() {
        for (long id = 1; id <= 400; id++) {
            ask(id, KEYED, id);
        }
        rules.requestArrived(now, request(1_000, PURE, 77));
        assertEquals(1, attempts(1_000));
        assertTrue(router.refused.isEmpty());
    }

    /** zone_loss: half of all requests were refused while parents and the branch's link stood idle. */
    @Test
    void withoutCachesAReadBypassesThemToAParent() {
        RecordingActions seen = new RecordingActions();
        RequestRouter past = started(direct(), seen);
        past.endpointsChanged(now, EndpointListMode.FULL, fleet().subList(4, 7));
        for (long id = 1; id <= 60; id++) {
            past.requestArrived(now, request(id, PURE, id));
        }
        assertTrue(
                seen.sent.stream().allMatch(s -> s.node() != ORIGIN && s.plan().fillSource() == ORIGIN));
        // 20 fills at first, as the link allows; the rest would only crowd it.
        assertEquals(20, seen.sent.size());
        assertEquals(40, seen.refused.size());
    }

    @Test
    void anObjectIsRetainedLongerOnceItIsRequestedAgain() {
        assertEquals(1, ask(1, PURE, 77).plan().retentionRank());
        assertEquals(2, ask(2, PURE, 77).plan().retentionRank());
    }
}
