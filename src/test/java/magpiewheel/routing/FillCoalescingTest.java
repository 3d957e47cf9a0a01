package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import magpiewheel.membership.HeartbeatMessages;
import org.junit.jupiter.api.Test;

/** A part that another front, or this one, has sent to a cache: where it is asked for, how long, and what ends that. */
class FillCoalescingTest {
    private static final int PURE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int FRESH = 3;
    private static final int GROUP = 5;
    private static final long ORIGIN = 9;
    private static final long OBJECT = 77;
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long WAIT = 3;
    private static final int MOST_WAITING = 64;
    private final RecordingActions router = new RecordingActions();
    private final RequestRouter rules;
    private final long hashed;
    private final long other;
    private long now = 100 * SECOND;
    private long lastId = 1;

    FillCoalescingTest() {
        RoutingSettings settings = settings(false);
        // Where rendezvous sends the object is known from a router that heard nothing.
        RecordingActions quiet = new RecordingActions();
        started(settings, quiet).requestArrived(now, request(1, PURE, 0));
        hashed = quiet.lastAttempt().node();
        other = hashed % 4 + 1;
        rules = started(settings, router);
        rules.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 0, now));
        rules.timerExpired(now, 0);
    }

    private static RoutingSettings settings(boolean joins) {
        RoutingSettings set = RequestRouterFixture.settings(false, SiblingFills.OFF);
        return RequestRouterFixture.withFeatures(set, joins, set.detailedCacheStatus());
    }

    private RequestRouter started(RoutingSettings settings, RecordingActions recorder) {
        RequestRouter started = new RequestRouter(
                settings, 42, recorder, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        started.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        return started;
    }

    private static RoutingRequest request(long id, int profile, int part) {
        return request(id, profile, part, OBJECT);
    }

    private static RoutingRequest request(long id, int profile, int part, long object) {
        return RoutingRequest.builder(id, profile, object)
                .group(GROUP)
                .timeBudgetUs(2 * SECOND)
                .part(part)
                .write(profile == KEYED || profile == UNSAFE)
                .build();
    }

    private long ask(int profile, int part) {
        rules.requestArrived(now, request(++lastId, profile, part));
        return lastId;
    }

    /** Another front says that it sent a fill of a part to a cache some time ago. */
    private void sent(int part, long node, int agoMs) {
        rules.peerMessageReceived(now, 1, message(part, node, agoMs));
    }

    private byte[] message(int part, long node, int agoMs) {
        return PeerMessageCodec.encode(new PeerMessage(
                        0,
                        now,
                        0,
                        16,
                        0,
                        List.of(),
                        List.of(new HolderHint(OBJECT, part, node, GROUP, agoMs)),
                        List.of()))
                .get(0);
    }

    private void answer(long id, AttemptResult result, CacheStatus note) {
        List<RecordingActions.StartedAttempt> mine = of(id);
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(
                                id, mine.size() - 1, mine.get(mine.size() - 1).node(), result)
                        .durationUs(5 * MS)
                        .requestCompleted(result == AttemptResult.OK)
                        .cacheStatus(note)
                        .firstByteUs(MS)
                        .build());
    }

    private List<RecordingActions.StartedAttempt> of(long id) {
        return router.attempts.stream().filter(sent -> sent.request() == id).toList();
    }

    private long lastTimer() {
        return router.calls.stream()
                .filter(line -> line.startsWith("timer ") && line.endsWith(" " + WAIT))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .reduce((first, second) -> second)
                .orElse(-1);
    }

    /** The clock goes on to when the module asked to be woken for those that wait. */
    private void wake() {
        now = lastTimer();
        rules.timerExpired(now, WAIT);
    }

    /** Asks for a part that is on its way to a cache, which says so: from now on the request waits. */
    private long waiting() {
        long id = ask(PURE, 0);
        now += 2 * MS;
        answer(id, AttemptResult.MISS, CacheStatus.COALESCED);
        return id;
    }

    private void looksAt(RecordingActions.StartedAttempt sent, long node) {
        assertEquals(node, sent.node());
        assertEquals(node, sent.plan().fillSource());
    }

    private void fillsAt(RecordingActions.StartedAttempt sent, long node) {
        assertEquals(node, sent.node());
        assertNotEquals(node, sent.plan().fillSource());
    }

    /** A request asks a cache first, which holds nothing and has nothing on its way: then it is filled. */
    private void goesTo(long node, long id) {
        looksAt(of(id).get(0), node);
        answer(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        fillsAt(of(id).get(1), node);
    }

    /** What this front tells of how many it has in hand at a cache. */
    private int inHand(long node) {
        rules.timerExpired(now, 0);
        PeerMessage message = PeerMessageCodec.decode(router.peerMessages.get(router.peerMessages.size() - 1));
        return message.loads().stream()
                .filter(load -> load.endpointId() == node)
                .mapToInt(EndpointLoad::inFlight)
                .sum();
    }

    @Test
    void aPartIsAskedForWhereAnotherFrontSentIt() {
        sent(0, other, 50);
        looksAt(of(ask(PURE, 0)).get(0), other);
        goesTo(hashed, ask(PURE, 1));
    }

    @Test
    void whatACacheHoldsAlreadyIsNoFill() {
        long id = ask(PURE, 0);
        looksAt(of(id).get(0), hashed);
        answer(id, AttemptResult.OK, CacheStatus.HIT);
        assertEquals(1, of(id).size());
        now += 100 * MS;
        rules.timerExpired(now, 0);
        PeerMessage message = PeerMessageCodec.decode(router.peerMessages.get(router.peerMessages.size() - 1));
        assertTrue(message.fillsStarted().isEmpty() && message.holders().isEmpty());
        assertEquals(0, message.fillsInFlight());
    }

    @Test
    void aRequestWaitsForAFillThatIsOnItsWayAndIsServedThere() {
        sent(0, other, 50);
        long id = waiting();
        assertEquals(1, of(id).size());
        assertTrue(router.rejected.isEmpty() && router.failed.isEmpty());
        assertTrue(lastTimer() > now);
        wake();
        assertEquals(2, of(id).size());
        looksAt(of(id).get(1), other);
        answer(id, AttemptResult.OK, CacheStatus.HIT);
        assertEquals(2, of(id).size());
    }

    @Test
    void aTimerThatComesEarlyWakesNobody() {
        sent(0, other, 50);
        long id = waiting();
        rules.timerExpired(lastTimer() - 1, WAIT);
        assertEquals(1, of(id).size());
    }

    @Test
    void aFillThatDiedIsWaitedForNoMore() {
        sent(0, other, 50);
        long id = waiting();
        wake();
        answer(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        assertEquals(3, of(id).size());
        fillsAt(of(id).get(2), hashed);
        // The next request asks where it is filled now.
        looksAt(of(ask(PURE, 0)).get(0), hashed);
    }

    @Test
    void aCacheThatNeverGotItIsLeftAtOnce() {
        sent(0, other, 50);
        long id = ask(PURE, 0);
        answer(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        assertEquals(2, of(id).size());
        fillsAt(of(id).get(1), hashed);
    }

    @Test
    void aCacheThatNeverGotItIsNotAskedFirstAgain() {
        sent(0, other, 50);
        long id = ask(PURE, 0);
        // Its client needs no more, so that nothing newer is sent.
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(id, 0, other, AttemptResult.MISS)
                        .durationUs(5 * MS)
                        .requestCompleted(true)
                        .firstByteUs(MS)
                        .build());
        looksAt(of(ask(PURE, 0)).get(0), hashed);
    }

    @Test
    void aSlowFillIsWaitedForWithinTheAimOnly() {
        sent(0, other, 50);
        long start = now;
        long id = waiting();
        while (of(id).get(of(id).size() - 1).plan().fillSource() == other) {
            wake();
            answer(id, AttemptResult.MISS, CacheStatus.COALESCED);
            assertTrue(of(id).size() <= 6);
        }
        // Aim 500 ms and twice the own sending time, which is 500 ms before any was seen; and that is needed for the
        // answer.
        assertTrue(now - start <= 1_000 * MS, "waited " + (now - start));
        assertTrue(now - start > 500 * MS, "waited " + (now - start));
        fillsAt(of(id).get(of(id).size() - 1), hashed);
        assertTrue(router.rejected.isEmpty() && router.failed.isEmpty());
    }

    @Test
    void whoHeardOfItLateAsksAtMostOnce() {
        sent(0, other, 50);
        long id = ask(PURE, 0);
        now += 1_100 * MS;
        answer(id, AttemptResult.MISS, CacheStatus.COALESCED);
        fillsAt(of(id).get(1), hashed);
    }

    @Test
    void aCacheThatDrainsIsNotWaitedFor() {
        sent(0, other, 50);
        long id = waiting();
        rules.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(other, 0, 0, 0, EndpointState.DRAINING)));
        assertEquals(2, of(id).size());
        fillsAt(of(id).get(1), hashed);
        rules.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(other, 0, 0, 0, EndpointState.READY)));
        looksAt(of(ask(PURE, 0)).get(0), hashed);
    }

    @Test
    void aCacheThatDiesIsNotWaitedFor() {
        sent(0, other, 50);
        long id = waiting();
        wake();
        answer(id, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(3, of(id).size());
        fillsAt(of(id).get(2), hashed);
    }

    @Test
    void whoWaitsCountsInHandAndALeavingClientNoMore() {
        sent(0, other, 50);
        long id = waiting();
        assertEquals(1, inHand(other));
        rules.clientDisconnected(now, id);
        assertEquals(0, inHand(other));
        wake();
        assertEquals(1, of(id).size());
        assertTrue(router.rejected.isEmpty() && router.failed.isEmpty());
    }

    @Test
    void aPurgeForgetsWhatWasSentBefore() {
        sent(0, other, 50);
        rules.objectsPurged(now, new Purge(0, 0, GROUP));
        now += MS;
        looksAt(of(ask(FRESH, 0)).get(0), hashed);
        // Word from before the purge that comes late says nothing either.
        sent(0, other, 50);
        looksAt(of(ask(FRESH, 0)).get(0), hashed);
    }

    @Test
    void whatWaitsThroughAPurgeAsksForACopyThatIsYounger() {
        sent(0, other, 50);
        long id = waiting();
        rules.objectsPurged(now, new Purge(0, OBJECT, 0));
        wake();
        looksAt(of(id).get(1), other);
        assertTrue(of(id).get(1).plan().maxAgeUs() > 0);
    }

    @Test
    void anOwnFillThatLandsLetsTheWaitingGoAtOnce() {
        long first = ask(PURE, 0);
        answer(first, AttemptResult.MISS, CacheStatus.UNKNOWN);
        now += 50 * MS;
        long second = waiting();
        looksAt(of(second).get(0), hashed);
        assertEquals(1, of(second).size());
        answer(first, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(2, of(second).size());
        assertEquals(hashed, of(second).get(1).node());
    }

    @Test
    void anOwnFillThatFailsLetsTheWaitingGoAtOnce() {
        long first = ask(PURE, 0);
        answer(first, AttemptResult.MISS, CacheStatus.UNKNOWN);
        now += 50 * MS;
        long second = waiting();
        answer(first, AttemptResult.ERROR, CacheStatus.SOURCE_REJECTED);
        assertEquals(2, of(second).size());
    }

    @Test
    void noMoreWaitThanAreCounted() {
        List<EndpointInfo> more = LongStream.range(11, 31)
                .mapToObj(node -> RequestRouterFixture.endpoint(node, 0, 0, 0, EndpointState.READY))
                .toList();
        rules.endpointsChanged(now, EndpointListMode.DELTA, more);
        for (int i = 0; i < MOST_WAITING + 10; i++) {
            rules.requestArrived(now, request(++lastId, PURE, 0, 1_000 + i));
            answer(lastId, AttemptResult.MISS, CacheStatus.COALESCED);
            // Beyond the bound it goes the way it went before, at once: a fill, or the end where the link has no room.
            assertEquals(i >= MOST_WAITING, of(lastId).size() == 2 || router.rejected.contains(lastId), "request " + i);
        }
    }

    @Test
    void whoWaitsTakesACachesPlacesLikeAnyOther() {
        for (int i = 0; i < 3 * MOST_WAITING; i++) {
            rules.requestArrived(now, request(++lastId, PURE, 0, 1_000 + i));
            if (of(lastId).isEmpty()) {
                // All caches are full: what has nowhere to go has its end at once.
                assertTrue(router.rejected.contains(lastId));
                return;
            }
            answer(lastId, AttemptResult.MISS, CacheStatus.COALESCED);
        }
        throw new AssertionError("nobody was turned away");
    }

    @Test
    void oldWordIsForgottenAndTheNewestCounts() {
        sent(0, other, 50);
        now += 11 * SECOND;
        looksAt(of(ask(PURE, 0)).get(0), hashed);
        long third = other % 4 + 1;
        sent(1, third, 50);
        sent(1, other, 900);
        looksAt(of(ask(PURE, 1)).get(0), third);
        sent(2, 4711, 50);
        looksAt(of(ask(PURE, 2)).get(0), hashed);
    }

    @Test
    void whereCachesJoinFillsNobodyAsksFirst() {
        RecordingActions recorder = new RecordingActions();
        RequestRouter joining = started(settings(true), recorder);
        joining.peerMessageReceived(now, 1, message(0, other, 50));
        joining.requestArrived(now, request(1, PURE, 0));
        fillsAt(recorder.lastAttempt(), hashed);
    }

    @Test
    void whoMayTryTwiceOnlyKeepsBothForFills() {
        RoutingSettings set = settings(false);
        RequestLimits all = set.limits();
        RequestLimits two = RequestLimits.builder(2)
                .mayCancel(all.mayCancel())
                .mayHedge(all.mayHedge())
                .mayMessagePeers(all.mayMessagePeers())
                .mayCheckHealth(all.mayCheckHealth())
                .maySendRetryAfter(all.maySendRetryAfter())
                .maxInFlight(all.maxInFlight())
                .maxRetryAfterUs(all.maxRetryAfterUs())
                .connectTimeoutUs(all.connectTimeoutUs())
                .build();
        RecordingActions recorder = new RecordingActions();
        started(
                        RoutingSettings.builder(set.topology(), set.requestClasses(), two, set.safetyLimits())
                                .tenants(set.tenants())
                                .overQuotaPriorityWeight(set.overQuotaPriorityWeight())
                                .mustSubscribe(set.mustSubscribe())
                                .siblingFills(set.siblingFills())
                                .cachesJoinFills(set.cachesJoinFills())
                                .mayBypassCaches(set.mayBypassCaches())
                                .detailedCacheStatus(set.detailedCacheStatus())
                                .weightSource(set.weightSource())
                                .loadMetrics(set.loadMetrics())
                                .build(),
                        recorder)
                .requestArrived(now, request(1, PURE, 0));
        fillsAt(recorder.lastAttempt(), hashed);
    }

    @Test
    void writesGoTheirOwnWay() {
        sent(0, other, 50);
        assertEquals(ORIGIN, of(ask(KEYED, 0)).get(0).plan().fillSource());
        assertEquals(ORIGIN, of(ask(UNSAFE, 0)).get(0).plan().fillSource());
    }

    @Test
    void aFillIsToldWhileItIsOutAndOnlyOnce() {
        long id = ask(PURE, 3);
        answer(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        now += 100 * MS;
        rules.timerExpired(now, 0);
        PeerMessage message = PeerMessageCodec.decode(router.peerMessages.get(router.peerMessages.size() - 1));
        assertEquals(List.of(new HolderHint(OBJECT, 3, hashed, GROUP, 100)), message.fillsStarted());
        now += 100 * MS;
        rules.timerExpired(now, 0);
        assertEquals(
                List.of(),
                PeerMessageCodec.decode(router.peerMessages.get(router.peerMessages.size() - 1))
                        .fillsStarted());
        answer(id, AttemptResult.OK, CacheStatus.FILLED);
        ask(PURE, 4);
        answer(lastId, AttemptResult.MISS, CacheStatus.UNKNOWN);
        answer(lastId, AttemptResult.OK, CacheStatus.FILLED);
        now += 100 * MS;
        rules.timerExpired(now, 0);
        message = PeerMessageCodec.decode(router.peerMessages.get(router.peerMessages.size() - 1));
        assertEquals(
                List.of(new HolderHint(OBJECT, 3, hashed, GROUP, 0), new HolderHint(OBJECT, 4, hashed, GROUP, 0)),
                message.holders());
        assertEquals(List.of(), message.fillsStarted());
    }

    /**
     * A large object's aim lies behind the end of a request whose client waits only 0.3 s: waiting for the fill by that
     * aim, the request would have been woken when its time was over, and had got no answer.
     */
    @Test
    void aRequestNeverWaitsPastItsOwnEnd() {
        double large = 9_000;
        long end = now + 300 * MS;
        long id = ++lastId;
        rules.requestArrived(
                now,
                RoutingRequest.builder(id, PURE, OBJECT)
                        .group(GROUP)
                        .sizeKb(large)
                        .timeBudgetUs(end - now)
                        .build());
        answer(id, AttemptResult.MISS, CacheStatus.COALESCED);
        assertTrue(lastTimer() < end, "woken in time");
        assertEquals(2, of(id).size(), "the fill goes out");
    }
}
