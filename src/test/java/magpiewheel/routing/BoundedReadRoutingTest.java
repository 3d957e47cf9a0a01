package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.staleness.ReadHint;
import org.junit.jupiter.api.Test;

/** How read hints change routing decisions and the delivery of responses. */
class BoundedReadRoutingTest {
    /** Request classes: reads that never become stale, writes, and reads that are fresh for 8 s with 16 s of grace. */
    private static final int UNLIMITED_FRESH_CLASS = 0;

    private static final int WRITE_CLASS = 1;
    private static final int FRESH_CLASS = 3;
    private static final long ORIGIN = 9;
    private static final long SECOND = 1_000_000;
    private static final long SESSION = 0xaa;
    private static final long OBJECT = 77;
    private final RecordingActions actions = new RecordingActions();
    private long now = 100 * SECOND;
    private final RequestRouter router = startRouter(actions, true);

    private RequestRouter startRouter(RecordingActions recorder, boolean boundedReads) {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        RequestRouter started = new RequestRouter(
                settings, 42, recorder, settings.topology().membershipConfig(0, 400_000, 1, false), null, boundedReads);
        started.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        return started;
    }

    /** Discovery is heard from for long enough that strict reads can be proven. */
    private void hearDiscovery() {
        for (int i = 0; i < 3; i++) {
            router.boundedReads().discoveryHeard(now);
            now += SECOND;
        }
        router.boundedReads().discoveryHeard(now);
    }

    private static ReadHint notOlderThan(long originTimeMs, boolean strict) {
        return new ReadHint(0, originTimeMs, 0, strict);
    }

    private static RoutingRequest request(long id, int requestClass, ReadHint hint) {
        return RoutingRequest.builder(id, requestClass, OBJECT)
                .group(5)
                .timeBudgetUs(2 * SECOND)
                .write(requestClass == WRITE_CLASS)
                .hint(hint)
                .build();
    }

    private RecordingActions.StartedAttempt submit(long id, int requestClass, ReadHint hint) {
        router.requestArrived(now, request(id, requestClass, hint));
        return actions.lastAttempt();
    }

    /** Ends an attempt with a response; returns the decision on its delivery. */
    private DeliveryDecision endAttempt(long id, int attempt, CacheStatus cacheStatus, long originTimeMs) {
        RecordingActions.StartedAttempt sent = actions.attempts.stream()
                .filter(s -> s.request() == id)
                .skip(attempt)
                .findFirst()
                .orElseThrow();
        router.boundedReads().responseReceived(id, attempt, now, cacheStatus, originTimeMs);
        DeliveryDecision decision = router.evaluateDelivery(now, id, originTimeMs);
        router.attemptEnded(
                now,
                AttemptOutcome.builder(
                                id, attempt, sent.node(), decision.deliver() ? AttemptResult.OK : AttemptResult.MISS)
                        .durationUs(1_000)
                        .requestCompleted(decision.deliver())
                        .cacheStatus(cacheStatus)
                        .firstByteUs(500)
                        .originTimeMs(originTimeMs)
                        .build());
        return decision;
    }

    private long nowMs() {
        return now / 1_000;
    }

    @Test
    void strictBoundLowersTheAgeLimitAndForbidsRevalidation() {
        hearDiscovery();
        RecordingActions.StartedAttempt plain = submit(1, FRESH_CLASS, ReadHint.NONE);
        assertTrue(plain.plan().revalidate()
                && plain.plan().joinFill()
                && plain.plan().maxAgeUs() == 0);
        RecordingActions.StartedAttempt sent = submit(2, FRESH_CLASS, notOlderThan(nowMs() - 300, true));
        assertEquals(300_000, sent.plan().maxAgeUs());
        assertFalse(sent.plan().revalidate());
        assertEquals(
                300_000,
                submit(3, UNLIMITED_FRESH_CLASS, notOlderThan(nowMs() - 300, true))
                        .plan()
                        .maxAgeUs(),
                "a class without a fresh time");
        assertEquals(
                8 * SECOND,
                submit(4, FRESH_CLASS, notOlderThan(1, true)).plan().maxAgeUs(),
                "the fresh time of the class is the lower limit");
        router.objectsPurged(now, new Purge(0, OBJECT, 0, nowMs()));
        now += 200_000;
        assertTrue(
                submit(5, FRESH_CLASS, notOlderThan(nowMs() - 3_000, true))
                                .plan()
                                .maxAgeUs()
                        < 200_000,
                "a purge sets the lower limit");
    }

    /** The first attempt of a preferred read requires the bound; the second accepts any copy that its class accepts. */
    @Test
    void preferredBoundIsDroppedOnTheSecondAttempt() {
        RecordingActions.StartedAttempt first = submit(1, FRESH_CLASS, notOlderThan(nowMs() - 300, false));
        assertEquals(300_000, first.plan().maxAgeUs());
        assertFalse(first.plan().revalidate());
        router.attemptEnded(
                now,
                AttemptOutcome.builder(1, 0, first.node(), AttemptResult.MISS)
                        .durationUs(1_000)
                        .cacheStatus(CacheStatus.SOURCE_MISS)
                        .build());
        RecordingActions.StartedAttempt second = actions.lastAttempt();
        assertEquals(2, actions.attempts.size());
        assertEquals(0, second.plan().maxAgeUs());
        assertTrue(second.plan().revalidate());
        assertEquals(new DeliveryDecision(true, nowMs() - 400, -1), endAttempt(1, 1, CacheStatus.HIT, nowMs() - 400));
    }

    @Test
    void strictReadThatCannotBeProvenIsRejectedWithoutAnAttempt() {
        router.requestArrived(now, request(1, FRESH_CLASS, notOlderThan(nowMs() - 300, true)));
        assertEquals(List.of(1L), actions.rejected);
        assertEquals(0, actions.attempts.size());
        assertTrue(
                actions.calls.get(actions.calls.size() - 1).matches("reject 1 [1-9][0-9]+"),
                "rejected with a retry-after time");
        submit(2, FRESH_CLASS, notOlderThan(nowMs() - 300, false));
        assertEquals(1, actions.attempts.size(), "a preferred read is attempted");
        hearDiscovery();
        submit(3, FRESH_CLASS, notOlderThan(nowMs() - 300, true));
        assertEquals(2, actions.attempts.size(), "once discovery is heard from, the bound can be proven");
    }

    /**
     * While the origin's clock is unknown, a strict read with an age bound is filled from the origin, not from a parent
     * or by joining a fill in flight; its response reveals the clock.
     */
    @Test
    void strictAgeBoundWithUnknownClockIsFilledFromTheOrigin() {
        hearDiscovery();
        assertNotEquals(ORIGIN, submit(1, FRESH_CLASS, ReadHint.NONE).plan().fillSource(), "fills come from parents");
        ReadHint atMostOneSecondOld = new ReadHint(SECOND, 0, 0, true);
        RecordingActions.StartedAttempt sent = submit(2, FRESH_CLASS, atMostOneSecondOld);
        assertEquals(ORIGIN, sent.plan().fillSource());
        assertFalse(sent.plan().joinFill());
        assertEquals(1, sent.plan().maxAgeUs(), "no copy in a cache is acceptable");
        assertEquals(new DeliveryDecision(true, nowMs(), 0), endAttempt(2, 0, CacheStatus.FILLED, nowMs()));
        RecordingActions.StartedAttempt next = submit(3, FRESH_CLASS, atMostOneSecondOld);
        assertNotEquals(1, next.plan().maxAgeUs());
        assertTrue(next.plan().joinFill());
        assertEquals(new DeliveryDecision(true, nowMs() - 100, 0), endAttempt(3, 0, CacheStatus.HIT, nowMs() - 100));
        assertEquals(List.of(), actions.rejected);
    }

    /**
     * While the origin's clock is unknown, one strict read with an age bound at a time is sent to the origin; once it
     * has ended without revealing the clock, the next one is. A copy that is not acceptable ends the read.
     */
    @Test
    void oneReadAtATimeIsSentToTheOriginWhileItsClockIsUnknown() {
        hearDiscovery();
        ReadHint atMostOneSecondOld = new ReadHint(SECOND, 0, 0, true);
        for (long id = 1; id <= 50; id++) {
            submit(id, FRESH_CLASS, atMostOneSecondOld);
        }
        assertEquals(1, actions.attempts.size());
        assertEquals(49, actions.rejected.size());
        assertTrue(
                actions.calls.get(actions.calls.size() - 1).matches("reject 50 300000"),
                actions.calls.get(actions.calls.size() - 1));
        assertTrue(router.boundedReads().isUnproven(1), "a rejection would be due to its hint");
        assertEquals(DeliveryDecision.WITHHELD, endAttempt(1, 0, CacheStatus.HIT, nowMs()));
        assertEquals(1, actions.attempts.size(), "there is no second attempt");
        submit(51, FRESH_CLASS, atMostOneSecondOld);
        assertEquals(2, actions.attempts.size());
        router.clientDisconnected(now, 51);
        submit(52, FRESH_CLASS, atMostOneSecondOld);
        assertEquals(2, actions.attempts.size(), "the attempt of the disconnected client is still in flight");
        submit(53, FRESH_CLASS, new ReadHint(SECOND, 0, 0, false));
        submit(54, FRESH_CLASS, notOlderThan(nowMs() - 300, true));
        assertEquals(4, actions.attempts.size(), "reads whose bound needs no clock are attempted");
    }

    /**
     * A copy that violates the bound counts as a miss of its cache. The one retry goes to another cache, which fills
     * from the origin and does not join a fill.
     */
    @Test
    void copyThatViolatesTheBoundIsAMissAndIsRetriedOnce() {
        hearDiscovery();
        long mark = nowMs() - 300;
        RecordingActions.StartedAttempt first = submit(1, FRESH_CLASS, notOlderThan(mark, true));
        assertNotEquals(ORIGIN, first.plan().fillSource());
        assertEquals(DeliveryDecision.WITHHELD, endAttempt(1, 0, CacheStatus.HIT, mark - 1));
        RecordingActions.StartedAttempt second = actions.lastAttempt();
        assertNotEquals(first.node(), second.node());
        assertEquals(ORIGIN, second.plan().fillSource());
        assertFalse(second.plan().joinFill());
        assertEquals(DeliveryDecision.WITHHELD, endAttempt(1, 1, CacheStatus.FILLED_BY_ORIGIN, mark - 1));
        assertEquals(List.of(1L), actions.rejected);
        assertEquals(2, actions.attempts.size());
        submit(2, FRESH_CLASS, ReadHint.NONE);
        assertNotEquals(
                first.node(),
                cacheOfLaterAttemptAfterHit(2),
                "the router takes the object to be missing from that cache");
    }

    /** Ends the first attempt with a hit; returns the cache of a later attempt, or -1 if there is none. */
    private long cacheOfLaterAttemptAfterHit(long id) {
        endAttempt(id, 0, CacheStatus.HIT, nowMs());
        return actions.lastAttempt().node() == firstCacheOf(id)
                ? -1
                : actions.lastAttempt().node();
    }

    private long firstCacheOf(long id) {
        return actions.attempts.stream()
                .filter(s -> s.request() == id)
                .findFirst()
                .orElseThrow()
                .node();
    }

    @Test
    void localCopyIsServedOnlyIfItSatisfiesTheBound() {
        hearDiscovery();
        LocalCopy copy = new LocalCopy(400_000, 1_000, 1_000);
        router.requestArrived(now, request(1, FRESH_CLASS, notOlderThan(nowMs() - 300, true)), copy);
        assertEquals(List.of(), actions.servedLocally);
        router.requestArrived(now, request(2, FRESH_CLASS, notOlderThan(nowMs() - 400, true)), copy);
        assertEquals(List.of(2L), actions.servedLocally);
        router.requestArrived(now, request(3, FRESH_CLASS, notOlderThan(nowMs() - 300, false)), copy);
        assertEquals(List.of(2L), actions.servedLocally, "a preferred read first tries to get a newer copy");
        router.endpointsChanged(now, EndpointListMode.FULL, List.of());
        router.requestArrived(now, request(4, FRESH_CLASS, notOlderThan(nowMs() - 300, true)), copy);
        assertEquals(List.of(4L), actions.rejected, "a strict read, even without endpoints");
        router.requestArrived(now, request(5, FRESH_CLASS, notOlderThan(nowMs() - 300, false)), copy);
        assertEquals(List.of(2L, 5L), actions.servedLocally, "a preferred read, where no endpoint can serve it");
    }

    /** A cache whose known copy is too old is not preferred as a holder: an acceptable local copy is served instead. */
    @Test
    void holderOfATooOldCopyIsIgnored() {
        hearDiscovery();
        submit(1, FRESH_CLASS, ReadHint.NONE);
        endAttempt(1, 0, CacheStatus.HIT, nowMs() - 5_000);
        LocalCopy copy = new LocalCopy(100_000, 1_000, 1_000);
        router.requestArrived(now, request(2, FRESH_CLASS, ReadHint.NONE), copy);
        assertEquals(List.of(), actions.servedLocally, "without a hint, the attempt goes to the holder");
        router.requestArrived(now, request(3, FRESH_CLASS, notOlderThan(nowMs() - 1_000, true)), copy);
        assertEquals(List.of(3L), actions.servedLocally);
    }

    /**
     * A copy that the origin issued for a read reveals the origin's clock, and so the age of that read's copy and of
     * later ones; a copy from a parent does not.
     */
    @Test
    void copyFilledByTheOriginRevealsItsClock() {
        hearDiscovery();
        ReadHint atMostOneSecondOld = new ReadHint(SECOND, 0, 0, false);
        submit(1, FRESH_CLASS, atMostOneSecondOld);
        assertEquals(-1, endAttempt(1, 0, CacheStatus.FILLED, nowMs()).ageMs());
        router.endpointsChanged(
                now,
                EndpointListMode.FULL,
                List.of(
                        RequestRouterFixture.endpoint(1, 0, 0, 0, EndpointState.READY),
                        RequestRouterFixture.endpoint(ORIGIN, 2, 1, 0, EndpointState.READY)));
        submit(2, FRESH_CLASS, atMostOneSecondOld);
        assertEquals(
                -1,
                endAttempt(2, 0, CacheStatus.COALESCED, nowMs()).ageMs(),
                "the fill that it joined may have started long before");
        submit(3, FRESH_CLASS, atMostOneSecondOld);
        assertEquals(0, endAttempt(3, 0, CacheStatus.FILLED_BY_ORIGIN, nowMs()).ageMs());
        submit(4, FRESH_CLASS, new ReadHint(SECOND, 0, 0, true));
        assertEquals(List.of(), actions.rejected);
    }

    /** Reads of a session go to the cache that served it, until that cache drains. */
    @Test
    void sessionSticksToItsReplica() {
        ReadHint session = new ReadHint(0, 0, SESSION, false);
        long first = submit(1, FRESH_CLASS, session).node();
        endAttempt(1, 0, CacheStatus.HIT, nowMs());
        long other = first % 4 + 1;
        now += 1_000;
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
                                List.of(),
                                List.of(new HolderHint(OBJECT, 0, other, 5, 0))))
                        .get(0));
        now += 1_000;
        assertEquals(other, submit(2, FRESH_CLASS, ReadHint.NONE).node(), "the holder that a peer reported");
        assertEquals(first, submit(3, FRESH_CLASS, session).node());
        assertEquals(1, router.statistics(now).get("pins_held"));
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(first, 0, 0, 0, EndpointState.DRAINING)));
        assertEquals(other, submit(4, FRESH_CLASS, session).node());
        assertEquals(0, router.statistics(now).get("pins_held"));
    }

    /** A cache whose known copy satisfies the bound is preferred to the holder that is otherwise selected. */
    @Test
    void cacheWithAnAcceptableKnownCopyIsPreferred() {
        hearDiscovery();
        long cacheWithOldCopy = submit(1, FRESH_CLASS, ReadHint.NONE).node();
        endAttempt(1, 0, CacheStatus.HIT, nowMs() - 5_000);
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(cacheWithOldCopy, 0, 0, 0, EndpointState.DRAINING)));
        long cacheWithRecentCopy = submit(2, FRESH_CLASS, ReadHint.NONE).node();
        endAttempt(2, 0, CacheStatus.HIT, nowMs() - 100);
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(cacheWithOldCopy, 0, 0, 0, EndpointState.READY)));
        now += 1_000;
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
                                List.of(),
                                List.of(new HolderHint(OBJECT, 0, cacheWithOldCopy, 5, 0))))
                        .get(0));
        now += 1_000;
        assertEquals(cacheWithOldCopy, submit(3, FRESH_CLASS, ReadHint.NONE).node());
        assertEquals(
                cacheWithRecentCopy,
                submit(4, FRESH_CLASS, notOlderThan(nowMs() - 1_000, true)).node());
    }

    /** A purge that arrives while a read is in flight makes older copies in its response unacceptable. */
    @Test
    void purgeDuringAReadMakesItsCopyUnacceptable() {
        hearDiscovery();
        long mark = nowMs() - 300;
        submit(1, FRESH_CLASS, notOlderThan(mark, true));
        router.objectsPurged(now, new Purge(0, OBJECT, 0, nowMs()));
        assertEquals(
                DeliveryDecision.WITHHELD,
                router.evaluateDelivery(now, 1, nowMs()),
                "a copy with the millisecond of the purge may be older than the purge");
        assertEquals(nowMs() + 1, router.evaluateDelivery(now, 1, nowMs() + 1).markMs());
        submit(2, UNLIMITED_FRESH_CLASS, notOlderThan(mark, true));
        router.objectsPurged(now, new Purge(0, 0, 5, nowMs() + 50));
        assertEquals(
                DeliveryDecision.WITHHELD,
                router.evaluateDelivery(now, 2, nowMs() + 50),
                "the purge of a group, by the origin's clock");
    }

    @Test
    void writeIgnoresHintsAndItsResponseCarriesAMark() {
        RecordingActions.StartedAttempt sent =
                submit(1, WRITE_CLASS, new ReadHint(SECOND, nowMs() + 60_000, SESSION, true));
        assertEquals(0, sent.plan().maxAgeUs());
        assertEquals(new DeliveryDecision(true, nowMs() + 1, 0), endAttempt(1, 0, CacheStatus.UNKNOWN, nowMs()));
        assertEquals(0, router.statistics(now).get("pins_held"));
    }

    /**
     * Hints have no effect while bounded reads are disabled, and enabling them does not affect requests without hints.
     */
    @Test
    void boundedReadsAffectOnlyRequestsWithHints() {
        List<String> plain = recordedCalls(false, false);
        assertTrue(plain.size() > 1_000);
        assertEquals(plain, recordedCalls(false, true));
        assertEquals(plain, recordedCalls(true, false));
        assertNotEquals(plain, recordedCalls(true, true), "hints have an effect while bounded reads are enabled");
    }

    private List<String> recordedCalls(boolean boundedReads, boolean hints) {
        RecordingActions recorder = new RecordingActions();
        now = 100 * SECOND;
        RequestRouter started = startRouter(recorder, boundedReads);
        SplittableRandom random = new SplittableRandom(5);
        for (long id = 1; id <= 1_000; id++) {
            now += random.nextLong(20_000);
            ReadHint hint = new ReadHint(
                    random.nextLong(3) * SECOND,
                    random.nextLong(3) * (nowMs() - 300),
                    random.nextLong(3),
                    random.nextBoolean());
            int requestClass = random.nextInt(4);
            LocalCopy localCopy =
                    random.nextInt(4) == 0 ? new LocalCopy(random.nextLong(20 * SECOND), 1_000, 1_000) : null;
            started.requestArrived(
                    now,
                    RoutingRequest.builder(id, requestClass, random.nextLong(40))
                            .group(5)
                            .timeBudgetUs(2 * SECOND)
                            .write(requestClass == 1 || requestClass == 2)
                            .hint(hints ? hint : ReadHint.NONE)
                            .build(),
                    localCopy);
            CacheStatus cacheStatus = CacheStatus.values()[1 + random.nextInt(5)];
            AttemptResult result = random.nextInt(5) == 0 ? AttemptResult.MISS : AttemptResult.OK;
            for (RecordingActions.StartedAttempt sent : List.copyOf(recorder.attempts)) {
                started.attemptEnded(
                        now,
                        AttemptOutcome.builder(sent.request(), 0, sent.node(), result)
                                .durationUs(1_000)
                                .requestCompleted(result == AttemptResult.OK)
                                .cacheStatus(cacheStatus)
                                .firstByteUs(500)
                                .originTimeMs(result == AttemptResult.OK ? nowMs() : 0)
                                .build());
            }
            recorder.attempts.clear();
            if (random.nextInt(20) == 0) {
                started.objectsPurged(now, new Purge(0, random.nextLong(40), 5, nowMs()));
            }
            started.boundedReads().discoveryHeard(now);
        }
        return recorder.calls;
    }
}
