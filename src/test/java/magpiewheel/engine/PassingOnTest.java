package magpiewheel.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;
import magpiewheel.routing.DeliveryDecision;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.RoutingActions;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingRequest;
import magpiewheel.staleness.ReadHint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every answer is shown to the module before it is passed on, whatever way its copy came. */
class PassingOnTest {
    private static final int BUFFERS = 64;
    private static final int BYTES = 5_000;
    private static final int READ = 0;
    private static final int WRITE = 1;
    private static final long BOUND_MS = 5_000;
    private static final long MARK_MS = 7_000;
    private static final AttemptPlan PLAN = AttemptPlan.builder(9)
            .retentionRank(1)
            .joinFill(true)
            .revalidate(true)
            .build();

    /** The ways by which a copy reaches a client. */
    enum Way {
        HIT,
        JOINED,
        STALE,
        FILLED,
        KEPT,
        OWN,
        OWN_KEPT
    }

    private record Told(AttemptResult result, boolean over, long mintedMs) {}

    private final Counters counters = new Counters();
    private final UnixClock clock = new UnixClock();
    private final BufferPool pool = new BufferPool(BUFFERS, counters);
    private final ResponseCache copies = new ResponseCache(BUFFERS, 1e9, 1e9);
    private final BlockingQueue<Attempt> sent = new LinkedBlockingQueue<>();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    private final BlockingQueue<PendingRequest.Response> answers = new LinkedBlockingQueue<>();
    private volatile boolean servesOwn;
    private volatile long agedMs;
    private RoutingActions actions;
    private final Engine engine = new Engine(
            EngineStubs.settings(EngineStubs.reads(), EngineStubs.requestClass(Idempotency.IDEMPOTENT, true, 0)),
            given -> module(given),
            clock,
            counters,
            EngineStubs.recordingUpstream(sent),
            (to, message) -> {},
            copies);

    /**
     * A module that sends each request once, or serves the own copy, and lets nothing pass that is older than the
     * bound.
     */
    private RoutingPolicy module(RoutingActions given) {
        actions = given;
        return EngineStubs.routingPolicy((method, arguments) -> {
            switch (method) {
                case "requestArrived" -> asked(((RoutingRequest) arguments[1]).id(), arguments[2] != null);
                case "evaluateDelivery" -> {
                    return (long) arguments[2] >= BOUND_MS
                            ? new DeliveryDecision(true, MARK_MS, agedMs)
                            : DeliveryDecision.WITHHELD;
                }
                case "boundedReads" -> {
                    return EngineStubs.boundedReads(true);
                }
                case "attemptEnded" -> ended((AttemptOutcome) arguments[1]);
                default -> {}
            }
            return null;
        });
    }

    private void asked(long id, boolean hasOwn) {
        if (servesOwn && hasOwn) {
            actions.serveLocalCopy(id);
        } else {
            actions.startAttempt(id, 1, PLAN);
        }
    }

    private void ended(AttemptOutcome outcome) {
        told.add(new Told(outcome.result(), outcome.requestCompleted(), outcome.originTimeMs()));
        if (!outcome.requestCompleted()) {
            actions.reject(outcome.requestId(), 1_000);
        }
    }

    private void ask(String trace, int profile, String held) {
        ask(trace, profile, held, TimeUnit.HOURS.toMicros(1));
    }

    private void ask(String trace, int profile, String held, long patienceUs) {
        long later = clock.now() + patienceUs;
        engine.submit(new PendingRequest(
                new PendingRequest.ClientRequest(
                        trace, profile, "v", 1, 0, 0, 0, 1, null, held, null, new ReadHint(0, BOUND_MS, 0, true)),
                new PendingRequest.Responder() {
                    @Override
                    public void respond(PendingRequest of, PendingRequest.Response answer) {
                        answers.add(answer);
                    }

                    @Override
                    public PendingRequest.ConnectionAddresses addresses() {
                        return null;
                    }
                },
                clock.now(),
                later,
                later));
    }

    private static <T> T next(BlockingQueue<T> of) throws InterruptedException {
        return java.util.Objects.requireNonNull(of.poll(10, TimeUnit.SECONDS), "nothing came");
    }

    private UpstreamOutcome copy(CacheStatus note, boolean unchanged, long mintedMs) {
        return new UpstreamOutcome(
                AttemptResult.OK,
                note,
                0,
                unchanged ? null : pool.acquire(BYTES, 0),
                "aa",
                unchanged,
                clock.now(),
                mintedMs);
    }

    /** Lets a copy come, and returns what the client was answered. */
    private PendingRequest.Response come(Way way, long mintedMs) throws InterruptedException {
        if (way == Way.OWN || way == Way.OWN_KEPT) {
            Body body = pool.acquire(BYTES, 0);
            copies.store(
                    new PendingRequest.ClientRequest("0", READ, "v", 1, 0, 0, 0, 1, null, null, null),
                    body,
                    "aa",
                    mintedMs);
            body.release();
            servesOwn = true;
        }
        engine.start();
        ask("1", READ, way == Way.OWN_KEPT || way == Way.KEPT ? "aa" : null);
        if (!servesOwn) {
            CacheStatus note = switch (way) {
                case JOINED -> CacheStatus.COALESCED;
                case STALE -> CacheStatus.STALE;
                case FILLED -> CacheStatus.FILLED;
                default -> CacheStatus.HIT;
            };
            engine.attemptEnded(next(sent), copy(note, way == Way.KEPT, mintedMs));
        }
        return next(answers);
    }

    @AfterEach
    void end() {
        engine.shutDown(List.of());
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void aCopyThatWillNotDoIsNeverPassedOn(Way way) throws InterruptedException {
        PendingRequest.Response answer = come(way, BOUND_MS - 1);
        assertEquals(PendingRequest.Outcome.REJECTED, answer.outcome());
        assertEquals(0, answer.markMs(), "nothing is told of it");
        assertEquals(1, counters.get(Counter.REFUSED_BY_HINT));
        assertEquals(1, counters.get(Counter.HINTED));
        if (way == Way.OWN || way == Way.OWN_KEPT) {
            assertEquals(0, counters.get(Counter.OWN_COPIES));
            assertEquals(0, sent.size());
        } else {
            assertEquals(new Told(AttemptResult.MISS, false, BOUND_MS - 1), next(told));
            assertEquals(0, copies.heldBuffers(), "nor is it kept");
            assertEquals(BUFFERS, pool.available(), "its body is given back");
        }
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void whatWillDoIsPassedOnWithItsMarkAndItsAge(Way way) throws InterruptedException {
        agedMs = 40;
        PendingRequest.Response answer = come(way, BOUND_MS);
        boolean unchanged = way == Way.KEPT || way == Way.OWN_KEPT;
        assertEquals(unchanged ? PendingRequest.Outcome.UNCHANGED : PendingRequest.Outcome.SERVED, answer.outcome());
        assertEquals(MARK_MS, answer.markMs());
        assertEquals(40, answer.ageMs());
        assertEquals(1, counters.get(Counter.AGED));
        assertEquals(0, counters.get(Counter.REFUSED_BY_HINT));
        if (answer.body() != null) {
            answer.body().release();
        }
    }

    /** A copy without a time proves nothing, and a node may leave it out where the client's copy holds. */
    @Test
    void aCopyWithoutItsTimeCountsAsMintedAtTheBeginning() throws InterruptedException {
        assertEquals(PendingRequest.Outcome.REJECTED, come(Way.KEPT, -1).outcome());
        assertEquals(new Told(AttemptResult.MISS, false, -1), next(told));
    }

    /**
     * A node's connection that says nothing of what was called off, as on a late machine, costs no request its harmless
     * end.
     */
    @Test
    void atItsDeadlineARequestEndsAsTheModuleSaysAndOnlyOnce() throws InterruptedException {
        engine.start();
        PendingRequest.Response answer = null;
        // On a late machine a request may be taken past its deadline, and nothing is sent: then the next one gets more
        // time.
        for (long patienceUs = 50_000; sent.isEmpty(); patienceUs *= 10) {
            assertEquals(true, patienceUs < 10_000_000, "nothing was ever sent");
            ask(Long.toString(patienceUs), READ, null, patienceUs);
            answer = next(answers);
        }
        Attempt attempt = next(sent);
        assertEquals(PendingRequest.Outcome.REJECTED, answer.outcome());
        assertEquals(new Told(AttemptResult.TIMEOUT, false, 0), next(told));
        assertEquals(1, engine.inFlight(), "it is out until the node's connection tells of its end");
        engine.attemptEnded(attempt, copy(CacheStatus.HIT, false, BOUND_MS));
        assertEquals(true, next(told).over());
        assertEquals(List.of(), List.copyOf(answers));
    }

    /** A write has no hint to count; its answer is shown to the module all the same. */
    @Test
    void theAnswerOfAWriteBringsItsMark() throws InterruptedException {
        engine.start();
        ask("1", WRITE, null);
        engine.attemptEnded(next(sent), copy(CacheStatus.UNKNOWN, false, BOUND_MS));
        PendingRequest.Response answer = next(answers);
        assertEquals(MARK_MS, answer.markMs());
        assertSame(PendingRequest.Outcome.SERVED, answer.outcome());
        assertEquals(0, counters.get(Counter.HINTED));
        answer.body().release();
    }
}
