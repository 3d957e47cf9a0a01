package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiewheel.staleness.ReadHint;
import org.junit.jupiter.api.Test;

/** Reads that ask a cache first for what it holds, where pins bound them and where a parent leads the region. */
class HoldOnlyAttemptTest {
    private static final int FRESH = 3;
    private static final long ORIGIN = 9;
    private static final long OBJECT = 77;
    private static final long SESSION = 0xaa;
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long WAIT = 3;
    private final RecordingActions router = new RecordingActions();
    private long now = 100 * SECOND;
    private final RequestRouter rules;
    private long lastId;
    private long mark;

    HoldOnlyAttemptTest() {
        RoutingSettings set = RequestRouterFixture.settings(false, SiblingFills.OFF);
        set = RequestRouterFixture.withFeatures(set, false, set.detailedCacheStatus());
        rules = new RequestRouter(set, 42, router, set.topology().membershipConfig(0, 400_000, 1, false), null, true);
        rules.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        for (int i = 0; i < 4; i++) {
            now += SECOND;
            rules.boundedReads().discoveryHeard(now);
        }
    }

    private long nowMs() {
        return now / MS;
    }

    /** A read of what was given out in the last 300 ms. */
    private long ask(boolean strict) {
        mark = nowMs() - 300;
        return ask(new ReadHint(0, mark, 0, strict));
    }

    private long ask(ReadHint hint) {
        rules.requestArrived(
                now,
                RoutingRequest.builder(++lastId, FRESH, OBJECT)
                        .group(5)
                        .timeBudgetUs(2 * SECOND)
                        .hint(hint)
                        .build());
        return lastId;
    }

    private List<RecordingActions.StartedAttempt> of(long id) {
        return router.attempts.stream().filter(sent -> sent.request() == id).toList();
    }

    private RecordingActions.StartedAttempt last(long id) {
        return of(id).get(of(id).size() - 1);
    }

    private boolean looks(long id) {
        return last(id).node() == last(id).plan().fillSource();
    }

    private void misses(long id, CacheStatus note) {
        ends(id, AttemptResult.MISS, note, 0);
    }

    private void ends(long id, AttemptResult result, CacheStatus note, long mintedMs) {
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(id, of(id).size() - 1, last(id).node(), result)
                        .durationUs(MS)
                        .requestCompleted(result == AttemptResult.OK)
                        .cacheStatus(note)
                        .firstByteUs(MS)
                        .originTimeMs(mintedMs)
                        .build());
    }

    /** A copy comes that is too old by a millisecond. */
    private void comesTooOld(long id, CacheStatus note) {
        long minted = mark - 1;
        rules.boundedReads().responseReceived(id, of(id).size() - 1, now, note, minted);
        assertFalse(rules.evaluateDelivery(now, id, minted).deliver());
        ends(id, AttemptResult.MISS, note, minted);
    }

    private void wake() {
        now = router.calls.stream()
                .filter(line -> line.matches("timer [0-9]+ " + WAIT))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .max()
                .orElseThrow();
        rules.timerExpired(now, WAIT);
    }

    private void bounded(long id, boolean look) {
        assertEquals(look, looks(id));
        assertEquals(300 * MS, last(id).plan().maxAgeUs());
        assertFalse(last(id).plan().revalidate());
    }

    @Test
    void aLookAndTheFillBehindItKeepToAStrictBound() {
        long id = ask(true);
        bounded(id, true);
        misses(id, CacheStatus.UNKNOWN);
        bounded(id, false);
        assertNotEquals(ORIGIN, last(id).plan().fillSource());
        misses(id, CacheStatus.SOURCE_MISS);
        bounded(id, false);
    }

    /** Looks are no tries: what is preferred is given up with the second fill. */
    @Test
    void aPreferredBoundHoldsThroughLooksAndTheFirstFill() {
        long id = ask(false);
        bounded(id, true);
        misses(id, CacheStatus.UNKNOWN);
        bounded(id, false);
        misses(id, CacheStatus.SOURCE_MISS);
        assertFalse(looks(id));
        assertEquals(0, last(id).plan().maxAgeUs());
        assertTrue(last(id).plan().revalidate());
    }

    @Test
    void aCopyOfALookThatWillNotDoIsFollowedByAFillFromTheOriginElsewhere() {
        long id = ask(true);
        long asked = last(id).node();
        comesTooOld(id, CacheStatus.HIT);
        assertEquals(2, of(id).size());
        assertEquals(ORIGIN, last(id).plan().fillSource());
        assertNotEquals(asked, last(id).node());
        comesTooOld(id, CacheStatus.FILLED_BY_ORIGIN);
        assertEquals(2, of(id).size());
        assertEquals(List.of(id), router.rejected);
    }

    @Test
    void aCopyThatWillNotDoIsNotWaitedFor() {
        long id = ask(true);
        comesTooOld(id, CacheStatus.COALESCED);
        assertEquals(2, of(id).size());
        assertEquals(ORIGIN, last(id).plan().fillSource());
    }

    /** The fill waited for began too early: the read still has both its own tries. */
    @Test
    void aStrictReadThatWaitedInVainFillsItself() {
        long id = ask(true);
        misses(id, CacheStatus.COALESCED);
        assertEquals(1, of(id).size());
        wake();
        assertTrue(looks(id));
        comesTooOld(id, CacheStatus.HIT);
        assertEquals(3, of(id).size());
        assertEquals(ORIGIN, last(id).plan().fillSource());
        assertTrue(router.rejected.isEmpty());
        misses(id, CacheStatus.SOURCE_REJECTED);
        assertEquals(4, of(id).size());
    }

    @Test
    void aSessionsReplicaIsAskedBeforeTheCacheThatThePartWasSentTo() {
        ReadHint session = new ReadHint(0, 0, SESSION, false);
        long first = last(ask(session)).node();
        ends(lastId, AttemptResult.OK, CacheStatus.HIT, nowMs());
        long other = first % 4 + 1;
        now += 11 * SECOND;
        rules.peerMessageReceived(
                now,
                1,
                PeerMessageCodec.encode(new PeerMessage(
                                0,
                                now,
                                0,
                                16,
                                0,
                                List.of(),
                                List.of(new HolderHint(OBJECT, 0, other, 5, 0)),
                                List.of()))
                        .get(0));
        // The module's own hint is out of date by now: nothing is known to be held.
        assertEquals(first, last(ask(session)).node());
        assertTrue(looks(lastId));
        assertEquals(other, last(ask(ReadHint.NONE)).node());
        assertTrue(looks(lastId));
    }

    /** What the region lets up is measured in fills; a look that hits takes nothing of it. */
    @Test
    void theRegionsPaceCountsNoLooks() {
        assertEquals(0, paced(AttemptResult.OK, CacheStatus.HIT));
        assertTrue(paced(AttemptResult.MISS, CacheStatus.UNKNOWN) > 0);
    }

    /** How many reads of new objects the pace held back, where each first look ends like this. */
    private static long paced(AttemptResult result, CacheStatus note) {
        RecordingActions to = new RecordingActions();
        long at = 1_800_000_000_000_000L;
        RoutingSettings set = RegionalFleetWorld.settings(0, false);
        RequestRouter led = new RequestRouter(
                set,
                5,
                to,
                set.topology().membershipConfig(0, 50 * MS, at / MS, false),
                set.regionConfig(at / MS, 1),
                false);
        led.endpointsChanged(
                at,
                EndpointListMode.CACHED,
                List.of(
                        EndpointInfo.builder(1, 0, 0).build(),
                        EndpointInfo.builder(101, 1, RegionalFleetWorld.HUB_ZONE)
                                .build(),
                        EndpointInfo.builder(201, 2, RegionalFleetWorld.HUB_ZONE)
                                .build()));
        for (long id = 1; id <= 200; id++) {
            led.requestArrived(
                    at, RoutingRequest.builder(id, 0, id).group(5).sizeKb(100).build());
            assertEquals(to.lastAttempt().node(), to.lastAttempt().plan().fillSource());
            led.attemptEnded(
                    at,
                    AttemptOutcome.builder(id, 0, 1, result)
                            .durationUs(MS)
                            .requestCompleted(result == AttemptResult.OK)
                            .cacheStatus(note)
                            .firstByteUs(MS)
                            .build());
            if (result == AttemptResult.MISS) {
                led.attemptEnded(
                        at,
                        AttemptOutcome.builder(id, 1, 1, AttemptResult.OK)
                                .durationUs(MS)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.FILLED)
                                .firstByteUs(MS)
                                .build());
            }
        }
        return led.statistics(at).get("region_paced");
    }

    /** Caches that do not join are asked first; what a leader fills leaves the origin once all the same. */
    @Test
    void withLooksAnObjectWantedInFourBranchesLeavesTheOriginOnce() {
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
