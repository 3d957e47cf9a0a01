package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiewheel.staleness.ReadHint;
import org.junit.jupiter.api.Test;

/** Tests of reads that start with a lookup: with a staleness bound, and in a region that a parent leads. */
class CachedOnlyAttemptTest {
    private static final int READ_WITH_FRESHNESS = 3;
    private static final long ORIGIN = 9;
    private static final long OBJECT = 77;
    private static final long SESSION = 0xaa;
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long LOOKUP_TIMER = 3;
    private final RecordingActions actions = new RecordingActions();
    private long now = 100 * SECOND;
    private final RequestRouter router;
    private long lastId;
    private long mark;

    CachedOnlyAttemptTest() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        settings = RequestRouterFixture.withFeatures(settings, false, settings.detailedCacheStatus());
        router = new RequestRouter(
                settings, 42, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, true);
        router.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        for (int i = 0; i < 4; i++) {
            now += SECOND;
            router.boundedReads().discoveryHeard(now);
        }
    }

    private long nowMs() {
        return now / MS;
    }

    /** Starts a read of a copy that the origin issued in the last 300 ms. */
    private long read(boolean strict) {
        mark = nowMs() - 300;
        return read(new ReadHint(0, mark, 0, strict));
    }

    private long read(ReadHint hint) {
        router.requestArrived(
                now,
                RoutingRequest.builder(++lastId, READ_WITH_FRESHNESS, OBJECT)
                        .group(5)
                        .timeBudgetUs(2 * SECOND)
                        .hint(hint)
                        .build());
        return lastId;
    }

    private List<RecordingActions.StartedAttempt> attemptsOf(long id) {
        return actions.attempts.stream().filter(sent -> sent.request() == id).toList();
    }

    private RecordingActions.StartedAttempt lastAttempt(long id) {
        return attemptsOf(id).get(attemptsOf(id).size() - 1);
    }

    private boolean isLookup(long id) {
        return lastAttempt(id).node() == lastAttempt(id).plan().fillSource();
    }

    private void endWithMiss(long id, CacheStatus status) {
        endAttempt(id, AttemptResult.MISS, status, 0);
    }

    private void endAttempt(long id, AttemptResult result, CacheStatus status, long originTimeMs) {
        router.attemptEnded(
                now,
                AttemptOutcome.builder(
                                id, attemptsOf(id).size() - 1, lastAttempt(id).node(), result)
                        .durationUs(MS)
                        .requestCompleted(result == AttemptResult.OK)
                        .cacheStatus(status)
                        .firstByteUs(MS)
                        .originTimeMs(originTimeMs)
                        .build());
    }

    /** Ends the last attempt with a copy that is too old by a millisecond. */
    private void endWithTooOldCopy(long id, CacheStatus status) {
        long originTimeMs = mark - 1;
        router.boundedReads().responseReceived(id, attemptsOf(id).size() - 1, now, status, originTimeMs);
        assertFalse(router.evaluateDelivery(now, id, originTimeMs).deliver());
        endAttempt(id, AttemptResult.MISS, status, originTimeMs);
    }

    private void expireLookupTimer() {
        now = actions.calls.stream()
                .filter(line -> line.matches("setTimer [0-9]+ " + LOOKUP_TIMER))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .max()
                .orElseThrow();
        router.timerExpired(now, LOOKUP_TIMER);
    }

    private void assertBounded(long id, boolean lookup) {
        assertEquals(lookup, isLookup(id));
        assertEquals(300 * MS, lastAttempt(id).plan().maxAgeUs());
        assertFalse(lastAttempt(id).plan().revalidate());
    }

    @Test
    void aLookupAndItsFillKeepToAStrictBound() {
        long id = read(true);
        assertBounded(id, true);
        endWithMiss(id, CacheStatus.UNKNOWN);
        assertBounded(id, false);
        assertNotEquals(ORIGIN, lastAttempt(id).plan().fillSource());
        endWithMiss(id, CacheStatus.SOURCE_MISS);
        assertBounded(id, false);
    }

    /** Lookups do not count as attempts at a fill: a preferred bound is dropped only with the second fill. */
    @Test
    void aPreferredBoundHoldsForLookupsAndTheFirstFill() {
        long id = read(false);
        assertBounded(id, true);
        endWithMiss(id, CacheStatus.UNKNOWN);
        assertBounded(id, false);
        endWithMiss(id, CacheStatus.SOURCE_MISS);
        assertFalse(isLookup(id));
        assertEquals(0, lastAttempt(id).plan().maxAgeUs());
        assertTrue(lastAttempt(id).plan().revalidate());
    }

    @Test
    void aTooOldCopyFromALookupIsFollowedByAFillFromTheOriginAtAnotherCache() {
        long id = read(true);
        long lookupCache = lastAttempt(id).node();
        endWithTooOldCopy(id, CacheStatus.HIT);
        assertEquals(2, attemptsOf(id).size());
        assertEquals(ORIGIN, lastAttempt(id).plan().fillSource());
        assertNotEquals(lookupCache, lastAttempt(id).node());
        endWithTooOldCopy(id, CacheStatus.FILLED_BY_ORIGIN);
        assertEquals(2, attemptsOf(id).size());
        assertEquals(List.of(id), actions.rejected);
    }

    @Test
    void aRequestDoesNotWaitForAFillWithATooOldCopy() {
        long id = read(true);
        endWithTooOldCopy(id, CacheStatus.COALESCED);
        assertEquals(2, attemptsOf(id).size());
        assertEquals(ORIGIN, lastAttempt(id).plan().fillSource());
    }

    /** The fill that the read waited for started too early: the read still has both attempts of its own. */
    @Test
    void aStrictReadIsFilledAfterItWaitedForATooOldCopy() {
        long id = read(true);
        endWithMiss(id, CacheStatus.COALESCED);
        assertEquals(1, attemptsOf(id).size());
        expireLookupTimer();
        assertTrue(isLookup(id));
        endWithTooOldCopy(id, CacheStatus.HIT);
        assertEquals(3, attemptsOf(id).size());
        assertEquals(ORIGIN, lastAttempt(id).plan().fillSource());
        assertTrue(actions.rejected.isEmpty());
        endWithMiss(id, CacheStatus.SOURCE_REJECTED);
        assertEquals(4, attemptsOf(id).size());
    }

    @Test
    void theStickyReplicaOfASessionIsLookedUpBeforeTheCacheThatFillsThePart() {
        ReadHint session = new ReadHint(0, 0, SESSION, false);
        long first = lastAttempt(read(session)).node();
        endAttempt(lastId, AttemptResult.OK, CacheStatus.HIT, nowMs());
        long otherCache = first % 4 + 1;
        now += 11 * SECOND;
        router.peerMessageReceived(
                now,
                1,
                PeerMessageCodec.encode(new PeerMessage(
                                0,
                                now,
                                0,
                                16,
                                0,
                                List.of(),
                                List.of(new HolderHint(OBJECT, 0, otherCache, 5, 0)),
                                List.of()))
                        .get(0));
        // The router's own holder hint has expired: no cache is known to hold the object.
        assertEquals(first, lastAttempt(read(session)).node());
        assertTrue(isLookup(lastId));
        assertEquals(otherCache, lastAttempt(read(ReadHint.NONE)).node());
        assertTrue(isLookup(lastId));
    }

    /** The pace of a region limits fills, so a lookup that hits uses none of it. */
    @Test
    void theFillPaceOfTheRegionDoesNotCountLookups() {
        assertEquals(0, pacedFills(AttemptResult.OK, CacheStatus.HIT));
        assertTrue(pacedFills(AttemptResult.MISS, CacheStatus.UNKNOWN) > 0);
    }

    /** Returns how many reads of new objects the region paced, if each lookup ends with the given result. */
    private static long pacedFills(AttemptResult result, CacheStatus status) {
        RecordingActions recorded = new RecordingActions();
        long at = 1_800_000_000_000_000L;
        RoutingSettings settings = RegionalFleetWorld.settings(0, false);
        RequestRouter requestRouter = new RequestRouter(
                settings,
                5,
                recorded,
                settings.topology().membershipConfig(0, 50 * MS, at / MS, false),
                settings.regionConfig(at / MS, 1),
                false);
        requestRouter.endpointsChanged(
                at,
                EndpointListMode.CACHED,
                List.of(
                        EndpointInfo.builder(1, 0, 0).build(),
                        EndpointInfo.builder(101, 1, RegionalFleetWorld.HUB_ZONE)
                                .build(),
                        EndpointInfo.builder(201, 2, RegionalFleetWorld.HUB_ZONE)
                                .build()));
        for (long id = 1; id <= 200; id++) {
            requestRouter.requestArrived(
                    at, RoutingRequest.builder(id, 0, id).group(5).sizeKb(100).build());
            assertEquals(
                    recorded.lastAttempt().node(), recorded.lastAttempt().plan().fillSource());
            requestRouter.attemptEnded(
                    at,
                    AttemptOutcome.builder(id, 0, 1, result)
                            .durationUs(MS)
                            .requestCompleted(result == AttemptResult.OK)
                            .cacheStatus(status)
                            .firstByteUs(MS)
                            .build());
            if (result == AttemptResult.MISS) {
                requestRouter.attemptEnded(
                        at,
                        AttemptOutcome.builder(id, 1, 1, AttemptResult.OK)
                                .durationUs(MS)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.FILLED)
                                .firstByteUs(MS)
                                .build());
            }
        }
        return requestRouter.statistics(at).get("region_paced");
    }

    /** Where caches do not join fills, an object that the leader fills still leaves the origin only once. */
    @Test
    void withLookupsAnObjectRequestedInFourZonesLeavesTheOriginOnce() {
        RegionalFleetWorld world = new RegionalFleetWorld(2, true, 4, 0, false);
        world.scheduleRequests(0, 13 * SECOND, 50 * MS, 20 * MS);
        world.runTo(17 * SECOND);
        assertTrue(world.agreedLeader() > RegionalFleetWorld.PARENT_ID_OFFSET);
        assertTrue(world.originFetchesPerObject(10 * SECOND, 13 * SECOND, 50 * MS) <= 1.05);
        assertEquals(world.requestCount, world.answers("served", 0, Long.MAX_VALUE));
        assertTrue(
                world.attempts.stream().filter(s -> s.node() == s.fillSource()).count() > world.requestCount / 2);
    }
}
