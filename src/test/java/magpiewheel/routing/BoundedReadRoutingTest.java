package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.staleness.ReadHint;
import org.junit.jupiter.api.Test;

/** What hints make of the module's plans. */
class BoundedReadRoutingTest {
    /** A class without a fresh time, a class of writes, and one that is fresh for 8 s with 16 s of grace. */
    private static final int PURE = 0;

    private static final int KEYED = 1;
    private static final int FRESH = 3;
    private static final long ORIGIN = 9;
    private static final long SECOND = 1_000_000;
    private static final long SESSION = 0xaa;
    private static final long OBJECT = 77;
    private final RecordingActions router = new RecordingActions();
    private long now = 100 * SECOND;
    private final RequestRouter rules = rules(router, true);

    private RequestRouter rules(RecordingActions to, boolean pins) {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        RequestRouter made = new RequestRouter(
                settings, 42, to, settings.topology().membershipConfig(0, 400_000, 1, false), null, pins);
        made.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        return made;
    }

    /** The board is heard for long enough that strict reads can be proven. */
    private void hearBoard() {
        for (int i = 0; i < 3; i++) {
            rules.boundedReads().discoveryHeard(now);
            now += SECOND;
        }
        rules.boundedReads().discoveryHeard(now);
    }

    private static ReadHint after(long ms, boolean strict) {
        return new ReadHint(0, ms, 0, strict);
    }

    private static RoutingRequest request(long id, int profile, ReadHint hint) {
        return RoutingRequest.builder(id, profile, OBJECT)
                .group(5)
                .timeBudgetUs(2 * SECOND)
                .write(profile == KEYED)
                .hint(hint)
                .build();
    }

    private RecordingActions.StartedAttempt ask(long id, int profile, ReadHint hint) {
        rules.requestArrived(now, request(id, profile, hint));
        return router.lastAttempt();
    }

    /** An answer comes with a copy; what the client is told of it, or that it is not. */
    private DeliveryDecision answer(long id, int attempt, CacheStatus note, long mintedMs) {
        RecordingActions.StartedAttempt sent = router.attempts.stream()
                .filter(s -> s.request() == id)
                .skip(attempt)
                .findFirst()
                .orElseThrow();
        rules.boundedReads().responseReceived(id, attempt, now, note, mintedMs);
        DeliveryDecision passing = rules.evaluateDelivery(now, id, mintedMs);
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(
                                id, attempt, sent.node(), passing.deliver() ? AttemptResult.OK : AttemptResult.MISS)
                        .durationUs(1_000)
                        .requestCompleted(passing.deliver())
                        .cacheStatus(note)
                        .firstByteUs(500)
                        .originTimeMs(mintedMs)
                        .build());
        return passing;
    }

    private long nowMs() {
        return now / 1_000;
    }

    @Test
    void aStrictBoundTightensThePlanAndLetsNothingBeRenewedBehind() {
        hearBoard();
        RecordingActions.StartedAttempt plain = ask(1, FRESH, ReadHint.NONE);
        assertTrue(plain.plan().revalidate()
                && plain.plan().joinFill()
                && plain.plan().maxAgeUs() == 0);
        RecordingActions.StartedAttempt sent = ask(2, FRESH, after(nowMs() - 300, true));
        assertEquals(300_000, sent.plan().maxAgeUs());
        assertFalse(sent.plan().revalidate());
        assertEquals(
                300_000, ask(3, PURE, after(nowMs() - 300, true)).plan().maxAgeUs(), "a class without a fresh time");
        assertEquals(8 * SECOND, ask(4, FRESH, after(1, true)).plan().maxAgeUs(), "its own fresh time is tighter");
        rules.objectsPurged(now, new Purge(0, OBJECT, 0, nowMs()));
        now += 200_000;
        assertTrue(ask(5, FRESH, after(nowMs() - 3_000, true)).plan().maxAgeUs() < 200_000, "a purge is tighter");
    }

    /** A preferred read asks for what it prefers once; then any copy of its class will do. */
    @Test
    void aPreferredBoundIsGivenUpWithTheSecondTry() {
        RecordingActions.StartedAttempt first = ask(1, FRESH, after(nowMs() - 300, false));
        assertEquals(300_000, first.plan().maxAgeUs());
        assertFalse(first.plan().revalidate());
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(1, 0, first.node(), AttemptResult.MISS)
                        .durationUs(1_000)
                        .cacheStatus(CacheStatus.SOURCE_MISS)
                        .build());
        RecordingActions.StartedAttempt second = router.lastAttempt();
        assertEquals(2, router.attempts.size());
        assertEquals(0, second.plan().maxAgeUs());
        assertTrue(second.plan().revalidate());
        assertEquals(new DeliveryDecision(true, nowMs() - 400, -1), answer(1, 1, CacheStatus.HIT, nowMs() - 400));
    }

    @Test
    void whatCantBeProvenIsRefusedAtOnceAndNothingIsSent() {
        rules.requestArrived(now, request(1, FRESH, after(nowMs() - 300, true)));
        assertEquals(List.of(1L), router.rejected);
        assertEquals(0, router.attempts.size());
        assertTrue(router.calls.get(router.calls.size() - 1).matches("refuse 1 [1-9][0-9]+"), "with a pause");
        ask(2, FRESH, after(nowMs() - 300, false));
        assertEquals(1, router.attempts.size(), "a preferred read goes on");
        hearBoard();
        ask(3, FRESH, after(nowMs() - 300, true));
        assertEquals(2, router.attempts.size(), "and the board brings the proof back");
    }

    /**
     * Without a clock a strict age goes to the origin past parents and fills under way; its answer brings the clock.
     */
    @Test
    void aStrictAgeWithoutAClockGoesToTheOriginItself() {
        hearBoard();
        assertNotEquals(ORIGIN, ask(1, FRESH, ReadHint.NONE).plan().fillSource(), "fills go by parents");
        ReadHint young = new ReadHint(SECOND, 0, 0, true);
        RecordingActions.StartedAttempt sent = ask(2, FRESH, young);
        assertEquals(ORIGIN, sent.plan().fillSource());
        assertFalse(sent.plan().joinFill());
        assertEquals(1, sent.plan().maxAgeUs(), "no copy that a cache holds will do");
        assertEquals(new DeliveryDecision(true, nowMs(), 0), answer(2, 0, CacheStatus.FILLED, nowMs()));
        RecordingActions.StartedAttempt next = ask(3, FRESH, young);
        assertNotEquals(1, next.plan().maxAgeUs());
        assertTrue(next.plan().joinFill());
        assertEquals(new DeliveryDecision(true, nowMs() - 100, 0), answer(3, 0, CacheStatus.HIT, nowMs() - 100));
        assertEquals(List.of(), router.rejected);
    }

    /**
     * Of a crowd one read goes to the origin; when it has ended without a clock the next may, and a copy that won't do
     * ends it.
     */
    @Test
    void ofACrowdWithoutAClockOneReadIsOutAtATime() {
        hearBoard();
        ReadHint young = new ReadHint(SECOND, 0, 0, true);
        for (long id = 1; id <= 50; id++) {
            ask(id, FRESH, young);
        }
        assertEquals(1, router.attempts.size());
        assertEquals(49, router.rejected.size());
        assertTrue(
                router.calls.get(router.calls.size() - 1).matches("refuse 50 300000"),
                router.calls.get(router.calls.size() - 1));
        assertTrue(rules.boundedReads().isUnproven(1), "its refusal would be for its hint");
        assertEquals(DeliveryDecision.WITHHELD, answer(1, 0, CacheStatus.HIT, nowMs()));
        assertEquals(1, router.attempts.size(), "it is not tried twice");
        ask(51, FRESH, young);
        assertEquals(2, router.attempts.size());
        rules.clientDisconnected(now, 51);
        ask(52, FRESH, young);
        assertEquals(2, router.attempts.size(), "its fetch is still out");
        ask(53, FRESH, new ReadHint(SECOND, 0, 0, false));
        ask(54, FRESH, after(nowMs() - 300, true));
        assertEquals(4, router.attempts.size(), "what needs no clock goes on");
    }

    /** A copy that would not do is asked for once more: not there, not by joining, and straight from the origin. */
    @Test
    void aCopyThatWillNotDoIsAMissOfItsCacheAndOnceOnly() {
        hearBoard();
        long mark = nowMs() - 300;
        RecordingActions.StartedAttempt first = ask(1, FRESH, after(mark, true));
        assertNotEquals(ORIGIN, first.plan().fillSource());
        assertEquals(DeliveryDecision.WITHHELD, answer(1, 0, CacheStatus.HIT, mark - 1));
        RecordingActions.StartedAttempt second = router.lastAttempt();
        assertNotEquals(first.node(), second.node());
        assertEquals(ORIGIN, second.plan().fillSource());
        assertFalse(second.plan().joinFill());
        assertEquals(DeliveryDecision.WITHHELD, answer(1, 1, CacheStatus.FILLED_BY_ORIGIN, mark - 1));
        assertEquals(List.of(1L), router.rejected);
        assertEquals(2, router.attempts.size());
        ask(2, FRESH, ReadHint.NONE);
        assertNotEquals(first.node(), answerAndNode(2), "the module thinks that cache lacks the object");
    }

    private long answerAndNode(long id) {
        answer(id, 0, CacheStatus.HIT, nowMs());
        return router.lastAttempt().node() == first(id)
                ? -1
                : router.lastAttempt().node();
    }

    private long first(long id) {
        return router.attempts.stream()
                .filter(s -> s.request() == id)
                .findFirst()
                .orElseThrow()
                .node();
    }

    @Test
    void anOwnCopyIsServedOnlyIfTheBoundAdmitsIt() {
        hearBoard();
        LocalCopy copy = new LocalCopy(400_000, 1_000, 1_000);
        rules.requestArrived(now, request(1, FRESH, after(nowMs() - 300, true)), copy);
        assertEquals(List.of(), router.servedLocally);
        rules.requestArrived(now, request(2, FRESH, after(nowMs() - 400, true)), copy);
        assertEquals(List.of(2L), router.servedLocally);
        rules.requestArrived(now, request(3, FRESH, after(nowMs() - 300, false)), copy);
        assertEquals(List.of(2L), router.servedLocally, "a preferred read looks for a younger one first");
        rules.endpointsChanged(now, EndpointListMode.FULL, List.of());
        rules.requestArrived(now, request(4, FRESH, after(nowMs() - 300, true)), copy);
        assertEquals(List.of(4L), router.rejected, "strict, whatever failed");
        rules.requestArrived(now, request(5, FRESH, after(nowMs() - 300, false)), copy);
        assertEquals(List.of(2L, 5L), router.servedLocally, "preferred: where no node can");
    }

    /** A cache that is known to hold a copy that is too old is no holder: the own copy, which will do, comes first. */
    @Test
    void aHolderOfAnOldCopyIsTakenForNone() {
        hearBoard();
        ask(1, FRESH, ReadHint.NONE);
        answer(1, 0, CacheStatus.HIT, nowMs() - 5_000);
        LocalCopy copy = new LocalCopy(100_000, 1_000, 1_000);
        rules.requestArrived(now, request(2, FRESH, ReadHint.NONE), copy);
        assertEquals(List.of(), router.servedLocally, "without a hint the holder is asked");
        rules.requestArrived(now, request(3, FRESH, after(nowMs() - 1_000, true)), copy);
        assertEquals(List.of(3L), router.servedLocally);
    }

    /**
     * What the origin gave out for a read proves that read's age, and those of the reads behind it; a parent's copy
     * does not.
     */
    @Test
    void theOriginsOwnCopyTellsItsClock() {
        hearBoard();
        ReadHint young = new ReadHint(SECOND, 0, 0, false);
        ask(1, FRESH, young);
        assertEquals(-1, answer(1, 0, CacheStatus.FILLED, nowMs()).ageMs());
        rules.endpointsChanged(
                now,
                EndpointListMode.FULL,
                List.of(
                        RequestRouterFixture.endpoint(1, 0, 0, 0, EndpointState.READY),
                        RequestRouterFixture.endpoint(ORIGIN, 2, 1, 0, EndpointState.READY)));
        ask(2, FRESH, young);
        assertEquals(
                -1,
                answer(2, 0, CacheStatus.COALESCED, nowMs()).ageMs(),
                "a fill under way may have begun long before");
        ask(3, FRESH, young);
        assertEquals(0, answer(3, 0, CacheStatus.FILLED_BY_ORIGIN, nowMs()).ageMs());
        ask(4, FRESH, new ReadHint(SECOND, 0, 0, true));
        assertEquals(List.of(), router.rejected);
    }

    /** A session keeps to the cache that served it, until that drains. */
    @Test
    void aSessionKeepsToItsReplica() {
        ReadHint session = new ReadHint(0, 0, SESSION, false);
        long first = ask(1, FRESH, session).node();
        answer(1, 0, CacheStatus.HIT, nowMs());
        long other = first % 4 + 1;
        now += 1_000;
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
                                List.of(),
                                List.of(new HolderHint(OBJECT, 0, other, 5, 0))))
                        .get(0));
        now += 1_000;
        assertEquals(other, ask(2, FRESH, ReadHint.NONE).node(), "the holder that the hint of a peer names");
        assertEquals(first, ask(3, FRESH, session).node());
        assertEquals(1, rules.statistics(now).get("pins_held"));
        rules.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(first, 0, 0, 0, EndpointState.DRAINING)));
        assertEquals(other, ask(4, FRESH, session).node());
        assertEquals(0, rules.statistics(now).get("pins_held"));
    }

    /** Of holders, one whose known copy will do goes before the module's own. */
    @Test
    void aHolderWhoseKnownCopyIsYoungEnoughIsAskedFirst() {
        hearBoard();
        long old = ask(1, FRESH, ReadHint.NONE).node();
        answer(1, 0, CacheStatus.HIT, nowMs() - 5_000);
        rules.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(RequestRouterFixture.endpoint(old, 0, 0, 0, EndpointState.DRAINING)));
        long young = ask(2, FRESH, ReadHint.NONE).node();
        answer(2, 0, CacheStatus.HIT, nowMs() - 100);
        rules.endpointsChanged(
                now, EndpointListMode.DELTA, List.of(RequestRouterFixture.endpoint(old, 0, 0, 0, EndpointState.READY)));
        now += 1_000;
        rules.peerMessageReceived(
                now,
                1,
                PeerMessageCodec.encode(new PeerMessage(
                                0, now, 0, 16, 0, List.of(), List.of(), List.of(new HolderHint(OBJECT, 0, old, 5, 0))))
                        .get(0));
        now += 1_000;
        assertEquals(old, ask(3, FRESH, ReadHint.NONE).node());
        assertEquals(young, ask(4, FRESH, after(nowMs() - 1_000, true)).node());
    }

    /** A purge that is told while a read is out voids what it brings. */
    @Test
    void aPurgeToldMeanwhileVoidsACopy() {
        hearBoard();
        long mark = nowMs() - 300;
        ask(1, FRESH, after(mark, true));
        rules.objectsPurged(now, new Purge(0, OBJECT, 0, nowMs()));
        assertEquals(
                DeliveryDecision.WITHHELD,
                rules.evaluateDelivery(now, 1, nowMs()),
                "the purge's own ms may be from before it");
        assertEquals(nowMs() + 1, rules.evaluateDelivery(now, 1, nowMs() + 1).markMs());
        ask(2, PURE, after(mark, true));
        rules.objectsPurged(now, new Purge(0, 0, 5, nowMs() + 50));
        assertEquals(
                DeliveryDecision.WITHHELD,
                rules.evaluateDelivery(now, 2, nowMs() + 50),
                "likewise a group's, by the origin's clock");
    }

    @Test
    void aWriteHoldsToNoHintAndItsAnswerBringsAMark() {
        RecordingActions.StartedAttempt sent = ask(1, KEYED, new ReadHint(SECOND, nowMs() + 60_000, SESSION, true));
        assertEquals(0, sent.plan().maxAgeUs());
        assertEquals(new DeliveryDecision(true, nowMs() + 1, 0), answer(1, 0, CacheStatus.UNKNOWN, nowMs()));
        assertEquals(0, rules.statistics(now).get("pins_held"));
    }

    /** Off, hints change nothing; on, nothing changes for whoever brings none. */
    @Test
    void withoutPinsOrHintsTheModuleDecidesAsEver() {
        List<String> plain = run(false, false);
        assertTrue(plain.size() > 1_000);
        assertEquals(plain, run(false, true));
        assertEquals(plain, run(true, false));
        assertNotEquals(plain, run(true, true), "the same, where they count");
    }

    private List<String> run(boolean pins, boolean hints) {
        RecordingActions seen = new RecordingActions();
        now = 100 * SECOND;
        RequestRouter of = rules(seen, pins);
        SplittableRandom random = new SplittableRandom(5);
        for (long id = 1; id <= 1_000; id++) {
            now += random.nextLong(20_000);
            ReadHint hint = new ReadHint(
                    random.nextLong(3) * SECOND,
                    random.nextLong(3) * (nowMs() - 300),
                    random.nextLong(3),
                    random.nextBoolean());
            int profile = random.nextInt(4);
            LocalCopy own = random.nextInt(4) == 0 ? new LocalCopy(random.nextLong(20 * SECOND), 1_000, 1_000) : null;
            of.requestArrived(
                    now,
                    RoutingRequest.builder(id, profile, random.nextLong(40))
                            .group(5)
                            .timeBudgetUs(2 * SECOND)
                            .write(profile == 1 || profile == 2)
                            .hint(hints ? hint : ReadHint.NONE)
                            .build(),
                    own);
            CacheStatus note = CacheStatus.values()[1 + random.nextInt(5)];
            AttemptResult result = random.nextInt(5) == 0 ? AttemptResult.MISS : AttemptResult.OK;
            for (RecordingActions.StartedAttempt sent : List.copyOf(seen.attempts)) {
                of.attemptEnded(
                        now,
                        AttemptOutcome.builder(sent.request(), 0, sent.node(), result)
                                .durationUs(1_000)
                                .requestCompleted(result == AttemptResult.OK)
                                .cacheStatus(note)
                                .firstByteUs(500)
                                .originTimeMs(result == AttemptResult.OK ? nowMs() : 0)
                                .build());
            }
            seen.attempts.clear();
            if (random.nextInt(20) == 0) {
                of.objectsPurged(now, new Purge(0, random.nextLong(40), 5, nowMs()));
            }
            of.boundedReads().discoveryHeard(now);
        }
        return seen.calls;
    }
}
