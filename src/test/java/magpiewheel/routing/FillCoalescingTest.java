package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import magpiewheel.membership.HeartbeatMessages;
import org.junit.jupiter.api.Test;

/**
 * Tests of requests for a part that a cache is already filling for this router or a peer: where the part is looked up,
 * how long a request waits for it, and what ends the wait.
 */
class FillCoalescingTest {
    private static final int READ = 0;
    private static final int KEYED_WRITE = 1;
    private static final int UNSAFE_WRITE = 2;
    private static final int READ_WITH_FRESHNESS = 3;
    private static final int GROUP = 5;
    private static final long ORIGIN = 9;
    private static final long OBJECT = 77;
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long LOOKUP_TIMER = 3;
    private static final int MAX_WAITING = 64;
    private final RecordingActions actions = new RecordingActions();
    private final RequestRouter router;
    private final long hashedCache;
    private final long otherCache;
    private long now = 100 * SECOND;
    private long lastId = 1;

    FillCoalescingTest() {
        RoutingSettings settings = settings(false);
        // A router without peer reports sends the request to the first cache in rendezvous order.
        RecordingActions hashedActions = new RecordingActions();
        started(settings, hashedActions).requestArrived(now, request(1, READ, 0));
        hashedCache = hashedActions.lastAttempt().node();
        otherCache = hashedCache % 4 + 1;
        router = started(settings, actions);
        router.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 0, now));
        router.timerExpired(now, 0);
    }

    private static RoutingSettings settings(boolean cachesJoinFills) {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        return RequestRouterFixture.withFeatures(settings, cachesJoinFills, settings.detailedCacheStatus());
    }

    private RequestRouter started(RoutingSettings settings, RecordingActions recorded) {
        RequestRouter started = new RequestRouter(
                settings, 42, recorded, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        started.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        return started;
    }

    private static RoutingRequest request(long id, int requestClass, int part) {
        return request(id, requestClass, part, OBJECT);
    }

    private static RoutingRequest request(long id, int requestClass, int part, long object) {
        return RoutingRequest.builder(id, requestClass, object)
                .group(GROUP)
                .timeBudgetUs(2 * SECOND)
                .part(part)
                .write(requestClass == KEYED_WRITE || requestClass == UNSAFE_WRITE)
                .build();
    }

    private long requestPart(int requestClass, int part) {
        router.requestArrived(now, request(++lastId, requestClass, part));
        return lastId;
    }

    /** Delivers a peer report of a fill that was started at a cache {@code ageMs} ago. */
    private void reportPeerFill(int part, long cacheId, int ageMs) {
        router.peerMessageReceived(now, 1, message(part, cacheId, ageMs));
    }

    private byte[] message(int part, long cacheId, int ageMs) {
        return PeerMessageCodec.encode(new PeerMessage(
                        0,
                        now,
                        0,
                        16,
                        0,
                        List.of(),
                        List.of(new HolderHint(OBJECT, part, cacheId, GROUP, ageMs)),
                        List.of()))
                .get(0);
    }

    private void endAttempt(long id, AttemptResult result, CacheStatus status) {
        List<RecordingActions.StartedAttempt> attempts = attemptsOf(id);
        router.attemptEnded(
                now,
                AttemptOutcome.builder(
                                id,
                                attempts.size() - 1,
                                attempts.get(attempts.size() - 1).node(),
                                result)
                        .durationUs(5 * MS)
                        .requestCompleted(result == AttemptResult.OK)
                        .cacheStatus(status)
                        .firstByteUs(MS)
                        .build());
    }

    private List<RecordingActions.StartedAttempt> attemptsOf(long id) {
        return actions.attempts.stream().filter(sent -> sent.request() == id).toList();
    }

    private long lastLookupTimer() {
        return actions.calls.stream()
                .filter(line -> line.startsWith("setTimer ") && line.endsWith(" " + LOOKUP_TIMER))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .reduce((first, second) -> second)
                .orElse(-1);
    }

    /** Advances the clock to the last lookup timer, and expires it. */
    private void expireLookupTimer() {
        now = lastLookupTimer();
        router.timerExpired(now, LOOKUP_TIMER);
    }

    /** Starts a request whose lookup reports a fill in flight, so that it waits; returns its identifier. */
    private long requestThatWaits() {
        long id = requestPart(READ, 0);
        now += 2 * MS;
        endAttempt(id, AttemptResult.MISS, CacheStatus.COALESCED);
        return id;
    }

    private void assertLookupAt(RecordingActions.StartedAttempt sent, long cacheId) {
        assertEquals(cacheId, sent.node());
        assertEquals(cacheId, sent.plan().fillSource());
    }

    private void assertFillAt(RecordingActions.StartedAttempt sent, long cacheId) {
        assertEquals(cacheId, sent.node());
        assertNotEquals(cacheId, sent.plan().fillSource());
    }

    /** Checks that a request makes a lookup at a cache, and is filled there after a miss without a fill in flight. */
    private void assertLookupThenFillAt(long cacheId, long id) {
        assertLookupAt(attemptsOf(id).get(0), cacheId);
        endAttempt(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        assertFillAt(attemptsOf(id).get(1), cacheId);
    }

    /** Returns how many attempts in flight at a cache this router reports to its peers. */
    private int reportedInFlight(long cacheId) {
        router.timerExpired(now, 0);
        PeerMessage message = PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1));
        return message.loads().stream()
                .filter(load -> load.endpointId() == cacheId)
                .mapToInt(EndpointLoad::inFlight)
                .sum();
    }

    @Test
    void aPartIsLookedUpAtTheCacheWhereAPeerStartedItsFill() {
        reportPeerFill(0, otherCache, 50);
        assertLookupAt(attemptsOf(requestPart(READ, 0)).get(0), otherCache);
        assertLookupThenFillAt(hashedCache, requestPart(READ, 1));
    }

    @Test
    void aLookupThatHitsIsNotAFill() {
        long id = requestPart(READ, 0);
        assertLookupAt(attemptsOf(id).get(0), hashedCache);
        endAttempt(id, AttemptResult.OK, CacheStatus.HIT);
        assertEquals(1, attemptsOf(id).size());
        now += 100 * MS;
        router.timerExpired(now, 0);
        PeerMessage message = PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1));
        assertTrue(message.fillsStarted().isEmpty() && message.holders().isEmpty());
        assertEquals(0, message.fillsInFlight());
    }

    @Test
    void aRequestWaitsForAFillInFlightAndIsServedThere() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        assertEquals(1, attemptsOf(id).size());
        assertTrue(actions.rejected.isEmpty() && actions.failed.isEmpty());
        assertTrue(lastLookupTimer() > now);
        expireLookupTimer();
        assertEquals(2, attemptsOf(id).size());
        assertLookupAt(attemptsOf(id).get(1), otherCache);
        endAttempt(id, AttemptResult.OK, CacheStatus.HIT);
        assertEquals(2, attemptsOf(id).size());
    }

    @Test
    void aTimerThatExpiresEarlyResumesNoRequest() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        router.timerExpired(lastLookupTimer() - 1, LOOKUP_TIMER);
        assertEquals(1, attemptsOf(id).size());
    }

    @Test
    void aRequestDoesNotWaitForAFillThatFailed() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        expireLookupTimer();
        endAttempt(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        assertEquals(3, attemptsOf(id).size());
        assertFillAt(attemptsOf(id).get(2), hashedCache);
        // The next request makes its lookup at the cache of the new fill.
        assertLookupAt(attemptsOf(requestPart(READ, 0)).get(0), hashedCache);
    }

    @Test
    void aCacheWithoutTheReportedFillIsNotWaitedFor() {
        reportPeerFill(0, otherCache, 50);
        long id = requestPart(READ, 0);
        endAttempt(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        assertEquals(2, attemptsOf(id).size());
        assertFillAt(attemptsOf(id).get(1), hashedCache);
    }

    @Test
    void aCacheWithoutTheReportedFillIsNotLookedUpAgain() {
        reportPeerFill(0, otherCache, 50);
        long id = requestPart(READ, 0);
        // The request is completed, so that no new fill is started for it.
        router.attemptEnded(
                now,
                AttemptOutcome.builder(id, 0, otherCache, AttemptResult.MISS)
                        .durationUs(5 * MS)
                        .requestCompleted(true)
                        .firstByteUs(MS)
                        .build());
        assertLookupAt(attemptsOf(requestPart(READ, 0)).get(0), hashedCache);
    }

    @Test
    void aSlowFillIsWaitedForOnlyWithinTheLatencyObjective() {
        reportPeerFill(0, otherCache, 50);
        long start = now;
        long id = requestThatWaits();
        while (attemptsOf(id).get(attemptsOf(id).size() - 1).plan().fillSource() == otherCache) {
            expireLookupTimer();
            endAttempt(id, AttemptResult.MISS, CacheStatus.COALESCED);
            assertTrue(attemptsOf(id).size() <= 6);
        }
        // The objective is 500 ms plus twice the transfer time, which is 500 ms before the first measurement. The
        // response
        // itself needs one transfer time of that.
        assertTrue(now - start <= 1_000 * MS, "waited " + (now - start));
        assertTrue(now - start > 500 * MS, "waited " + (now - start));
        assertFillAt(attemptsOf(id).get(attemptsOf(id).size() - 1), hashedCache);
        assertTrue(actions.rejected.isEmpty() && actions.failed.isEmpty());
    }

    @Test
    void aLateAnswerToTheFirstLookupIsNotFollowedByAnother() {
        reportPeerFill(0, otherCache, 50);
        long id = requestPart(READ, 0);
        now += 1_100 * MS;
        endAttempt(id, AttemptResult.MISS, CacheStatus.COALESCED);
        assertFillAt(attemptsOf(id).get(1), hashedCache);
    }

    @Test
    void aDrainingCacheIsNotWaitedFor() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(otherCache, 0, 0, 0, EndpointState.DRAINING)));
        assertEquals(2, attemptsOf(id).size());
        assertFillAt(attemptsOf(id).get(1), hashedCache);
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(otherCache, 0, 0, 0, EndpointState.READY)));
        assertLookupAt(attemptsOf(requestPart(READ, 0)).get(0), hashedCache);
    }

    @Test
    void anUnreachableCacheIsNotWaitedFor() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        expireLookupTimer();
        endAttempt(id, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(3, attemptsOf(id).size());
        assertFillAt(attemptsOf(id).get(2), hashedCache);
    }

    @Test
    void aWaitingRequestCountsAsInFlightUntilItsClientDisconnects() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        assertEquals(1, reportedInFlight(otherCache));
        router.clientDisconnected(now, id);
        assertEquals(0, reportedInFlight(otherCache));
        expireLookupTimer();
        assertEquals(1, attemptsOf(id).size());
        assertTrue(actions.rejected.isEmpty() && actions.failed.isEmpty());
    }

    @Test
    void aPurgeForgetsFillsStartedBefore() {
        reportPeerFill(0, otherCache, 50);
        router.objectsPurged(now, new Purge(0, 0, GROUP));
        now += MS;
        assertLookupAt(attemptsOf(requestPart(READ_WITH_FRESHNESS, 0)).get(0), hashedCache);
        // A late report of a fill from before the purge is ignored as well.
        reportPeerFill(0, otherCache, 50);
        assertLookupAt(attemptsOf(requestPart(READ_WITH_FRESHNESS, 0)).get(0), hashedCache);
    }

    @Test
    void aRequestThatWaitsDuringAPurgeLimitsTheAgeOfItsCopy() {
        reportPeerFill(0, otherCache, 50);
        long id = requestThatWaits();
        router.objectsPurged(now, new Purge(0, OBJECT, 0));
        expireLookupTimer();
        assertLookupAt(attemptsOf(id).get(1), otherCache);
        assertTrue(attemptsOf(id).get(1).plan().maxAgeUs() > 0);
    }

    @Test
    void theEndOfAnOwnFillResumesWaitingRequestsAtOnce() {
        long first = requestPart(READ, 0);
        endAttempt(first, AttemptResult.MISS, CacheStatus.UNKNOWN);
        now += 50 * MS;
        long second = requestThatWaits();
        assertLookupAt(attemptsOf(second).get(0), hashedCache);
        assertEquals(1, attemptsOf(second).size());
        endAttempt(first, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(2, attemptsOf(second).size());
        assertEquals(hashedCache, attemptsOf(second).get(1).node());
    }

    @Test
    void theFailureOfAnOwnFillResumesWaitingRequestsAtOnce() {
        long first = requestPart(READ, 0);
        endAttempt(first, AttemptResult.MISS, CacheStatus.UNKNOWN);
        now += 50 * MS;
        long second = requestThatWaits();
        endAttempt(first, AttemptResult.ERROR, CacheStatus.SOURCE_REJECTED);
        assertEquals(2, attemptsOf(second).size());
    }

    @Test
    void theNumberOfWaitingRequestsIsBounded() {
        List<EndpointInfo> more = LongStream.range(11, 31)
                .mapToObj(node -> RequestRouterFixture.endpoint(node, 0, 0, 0, EndpointState.READY))
                .toList();
        router.endpointsChanged(now, EndpointListMode.DELTA, more);
        for (int i = 0; i < MAX_WAITING + 10; i++) {
            router.requestArrived(now, request(++lastId, READ, 0, 1_000 + i));
            endAttempt(lastId, AttemptResult.MISS, CacheStatus.COALESCED);
            // Beyond the bound a request does not wait: it is filled, or rejected if the fill limit is reached.
            assertEquals(
                    i >= MAX_WAITING,
                    attemptsOf(lastId).size() == 2 || actions.rejected.contains(lastId),
                    "request " + i);
        }
    }

    @Test
    void waitingRequestsUseTheConcurrencyLimitOfTheirCache() {
        for (int i = 0; i < 3 * MAX_WAITING; i++) {
            router.requestArrived(now, request(++lastId, READ, 0, 1_000 + i));
            if (attemptsOf(lastId).isEmpty()) {
                // All caches are at their limit: the request is rejected at once.
                assertTrue(actions.rejected.contains(lastId));
                return;
            }
            endAttempt(lastId, AttemptResult.MISS, CacheStatus.COALESCED);
        }
        throw new AssertionError("no request was rejected");
    }

    @Test
    void expiredReportsAreIgnoredAndTheNewestCounts() {
        reportPeerFill(0, otherCache, 50);
        now += 11 * SECOND;
        assertLookupAt(attemptsOf(requestPart(READ, 0)).get(0), hashedCache);
        long third = otherCache % 4 + 1;
        reportPeerFill(1, third, 50);
        reportPeerFill(1, otherCache, 900);
        assertLookupAt(attemptsOf(requestPart(READ, 1)).get(0), third);
        reportPeerFill(2, 4711, 50);
        assertLookupAt(attemptsOf(requestPart(READ, 2)).get(0), hashedCache);
    }

    @Test
    void thereAreNoLookupsWhereCachesJoinFills() {
        RecordingActions recorded = new RecordingActions();
        RequestRouter joining = started(settings(true), recorded);
        joining.peerMessageReceived(now, 1, message(0, otherCache, 50));
        joining.requestArrived(now, request(1, READ, 0));
        assertFillAt(recorded.lastAttempt(), hashedCache);
    }

    @Test
    void thereAreNoLookupsWithOnlyTwoAttempts() {
        RoutingSettings settings = settings(false);
        RequestLimits limits = settings.limits();
        RequestLimits twoAttempts = RequestLimits.builder(2)
                .mayCancel(limits.mayCancel())
                .mayHedge(limits.mayHedge())
                .mayMessagePeers(limits.mayMessagePeers())
                .mayCheckHealth(limits.mayCheckHealth())
                .maySendRetryAfter(limits.maySendRetryAfter())
                .maxInFlight(limits.maxInFlight())
                .maxRetryAfterUs(limits.maxRetryAfterUs())
                .connectTimeoutUs(limits.connectTimeoutUs())
                .build();
        RecordingActions recorded = new RecordingActions();
        started(
                        RoutingSettings.builder(
                                        settings.topology(),
                                        settings.requestClasses(),
                                        twoAttempts,
                                        settings.safetyLimits())
                                .tenants(settings.tenants())
                                .overQuotaPriorityWeight(settings.overQuotaPriorityWeight())
                                .mustSubscribe(settings.mustSubscribe())
                                .siblingFills(settings.siblingFills())
                                .cachesJoinFills(settings.cachesJoinFills())
                                .mayBypassCaches(settings.mayBypassCaches())
                                .detailedCacheStatus(settings.detailedCacheStatus())
                                .weightSource(settings.weightSource())
                                .loadMetrics(settings.loadMetrics())
                                .build(),
                        recorded)
                .requestArrived(now, request(1, READ, 0));
        assertFillAt(recorded.lastAttempt(), hashedCache);
    }

    @Test
    void writesAreNotLookedUp() {
        reportPeerFill(0, otherCache, 50);
        assertEquals(
                ORIGIN, attemptsOf(requestPart(KEYED_WRITE, 0)).get(0).plan().fillSource());
        assertEquals(
                ORIGIN, attemptsOf(requestPart(UNSAFE_WRITE, 0)).get(0).plan().fillSource());
    }

    @Test
    void aFillIsReportedOnceWhileItIsInFlight() {
        long id = requestPart(READ, 3);
        endAttempt(id, AttemptResult.MISS, CacheStatus.UNKNOWN);
        now += 100 * MS;
        router.timerExpired(now, 0);
        PeerMessage message = PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1));
        assertEquals(List.of(new HolderHint(OBJECT, 3, hashedCache, GROUP, 100)), message.fillsStarted());
        now += 100 * MS;
        router.timerExpired(now, 0);
        assertEquals(
                List.of(),
                PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1))
                        .fillsStarted());
        endAttempt(id, AttemptResult.OK, CacheStatus.FILLED);
        requestPart(READ, 4);
        endAttempt(lastId, AttemptResult.MISS, CacheStatus.UNKNOWN);
        endAttempt(lastId, AttemptResult.OK, CacheStatus.FILLED);
        now += 100 * MS;
        router.timerExpired(now, 0);
        message = PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1));
        assertEquals(
                List.of(
                        new HolderHint(OBJECT, 3, hashedCache, GROUP, 0),
                        new HolderHint(OBJECT, 4, hashedCache, GROUP, 0)),
                message.holders());
        assertEquals(List.of(), message.fillsStarted());
    }

    /**
     * The latency objective of a large object lies after the deadline of a request with a time budget of 0.3 s. A
     * request that waited for the fill until the objective would be resumed after its deadline, and get no answer.
     */
    @Test
    void aRequestNeverWaitsPastItsDeadline() {
        double largeKb = 9_000;
        long deadline = now + 300 * MS;
        long id = ++lastId;
        router.requestArrived(
                now,
                RoutingRequest.builder(id, READ, OBJECT)
                        .group(GROUP)
                        .sizeKb(largeKb)
                        .timeBudgetUs(deadline - now)
                        .build());
        endAttempt(id, AttemptResult.MISS, CacheStatus.COALESCED);
        assertTrue(lastLookupTimer() < deadline, "resumed before the deadline");
        assertEquals(2, attemptsOf(id).size(), "the fill is started");
    }
}
