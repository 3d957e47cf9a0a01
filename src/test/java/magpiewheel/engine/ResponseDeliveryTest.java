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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The routing policy checks every response before it is delivered, whatever the source of its copy. */
class ResponseDeliveryTest {
    private static final int BUFFERS = 64;
    private static final int BODY_BYTES = 5_000;
    private static final int READ_CLASS = 0;
    private static final int WRITE_CLASS = 1;
    private static final int KEYED_READ_CLASS = 2;
    private static final int UNSAFE_READ_CLASS = 3;
    private static final long OLDEST_ORIGIN_TIME_MS = 5_000;
    private static final long MARK_MS = 7_000;
    private static final AttemptPlan PLAN = AttemptPlan.builder(9)
            .retentionRank(1)
            .joinFill(true)
            .revalidate(true)
            .build();

    /** The sources of a copy, and whether the client already holds it. */
    enum CopySource {
        HIT,
        COALESCED,
        STALE,
        FILLED,
        UNCHANGED,
        LOCAL,
        LOCAL_UNCHANGED
    }

    private record ReportedEnd(AttemptResult result, boolean requestCompleted, long originTimeMs) {}

    private final Counters counters = new Counters();
    private final UnixClock clock = new UnixClock();
    private final BufferPool pool = new BufferPool(BUFFERS, counters);
    private final ResponseCache responseCache = new ResponseCache(BUFFERS, 1e9, 1e9);
    private final BlockingQueue<Attempt> sent = new LinkedBlockingQueue<>();
    private final BlockingQueue<ReportedEnd> reportedEnds = new LinkedBlockingQueue<>();
    private final BlockingQueue<PendingRequest.Response> responses = new LinkedBlockingQueue<>();
    private volatile boolean servesLocalCopy;
    private volatile boolean servesLocalCopyAfterAttempt;
    private volatile long ageMs;
    private RoutingActions actions;
    private final Engine engine = new Engine(
            EngineStubs.settings(
                    EngineStubs.idempotentReads(),
                    EngineStubs.requestClass(Idempotency.IDEMPOTENT, true, 0),
                    EngineStubs.requestClass(Idempotency.KEYED, false, 1),
                    EngineStubs.requestClass(Idempotency.NOT_IDEMPOTENT, false, 0)),
            givenActions -> deliveringPolicy(givenActions),
            clock,
            counters,
            EngineStubs.recordingUpstream(sent),
            (to, message) -> {},
            responseCache);

    /**
     * Returns a routing policy that sends each request once or serves the local copy, and delivers no copy that is
     * older than the bound.
     */
    private RoutingPolicy deliveringPolicy(RoutingActions givenActions) {
        actions = givenActions;
        return EngineStubs.routingPolicy((method, arguments) -> {
            switch (method) {
                case "requestArrived" -> startRequest(((RoutingRequest) arguments[1]).id(), arguments[2] != null);
                case "evaluateDelivery" -> {
                    return (long) arguments[2] >= OLDEST_ORIGIN_TIME_MS
                            ? new DeliveryDecision(true, MARK_MS, ageMs)
                            : DeliveryDecision.WITHHELD;
                }
                case "boundedReads" -> {
                    return EngineStubs.boundedReads(true);
                }
                case "attemptEnded" -> rejectUnlessCompleted((AttemptOutcome) arguments[1]);
                default -> {}
            }
            return null;
        });
    }

    private void startRequest(long id, boolean hasLocalCopy) {
        if (servesLocalCopy && hasLocalCopy) {
            actions.serveLocalCopy(id);
        } else {
            actions.startAttempt(id, 1, PLAN);
        }
    }

    private void rejectUnlessCompleted(AttemptOutcome outcome) {
        reportedEnds.add(new ReportedEnd(outcome.result(), outcome.requestCompleted(), outcome.originTimeMs()));
        if (servesLocalCopyAfterAttempt) {
            actions.serveLocalCopy(outcome.requestId());
        } else if (!outcome.requestCompleted()) {
            actions.reject(outcome.requestId(), 1_000);
        }
    }

    private void submit(String trace, int profile, String heldTag) {
        submit(trace, profile, heldTag, TimeUnit.HOURS.toMicros(1));
    }

    private void submit(String trace, int profile, String heldTag, long timeBudgetUs) {
        long deadlineUs = clock.now() + timeBudgetUs;
        engine.submit(new PendingRequest(
                new PendingRequest.ClientRequest(
                        trace,
                        profile,
                        "v",
                        1,
                        0,
                        0,
                        0,
                        1,
                        null,
                        heldTag,
                        null,
                        new ReadHint(0, OLDEST_ORIGIN_TIME_MS, 0, true)),
                new PendingRequest.Responder() {
                    @Override
                    public void respond(PendingRequest pending, PendingRequest.Response response) {
                        responses.add(response);
                    }

                    @Override
                    public PendingRequest.ConnectionAddresses addresses() {
                        return null;
                    }
                },
                clock.now(),
                deadlineUs,
                deadlineUs));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        return java.util.Objects.requireNonNull(queue.poll(10, TimeUnit.SECONDS), "nothing arrived within 10 s");
    }

    private UpstreamOutcome responseWithCopy(CacheStatus cacheStatus, boolean unchanged, long originTimeMs) {
        return new UpstreamOutcome(
                AttemptResult.OK,
                cacheStatus,
                0,
                unchanged ? null : pool.acquire(BODY_BYTES, 0),
                "aa",
                unchanged,
                clock.now(),
                originTimeMs);
    }

    /** Returns the response to a client whose request finds a copy from this source. */
    private PendingRequest.Response responseToCopy(CopySource source, long originTimeMs) throws InterruptedException {
        if (source == CopySource.LOCAL || source == CopySource.LOCAL_UNCHANGED) {
            Body body = pool.acquire(BODY_BYTES, 0);
            responseCache.store(
                    new PendingRequest.ClientRequest("0", READ_CLASS, "v", 1, 0, 0, 0, 1, null, null, null),
                    body,
                    "aa",
                    originTimeMs);
            body.release();
            servesLocalCopy = true;
        }
        engine.start();
        submit("1", READ_CLASS, source == CopySource.LOCAL_UNCHANGED || source == CopySource.UNCHANGED ? "aa" : null);
        if (!servesLocalCopy) {
            CacheStatus cacheStatus = switch (source) {
                case COALESCED -> CacheStatus.COALESCED;
                case STALE -> CacheStatus.STALE;
                case FILLED -> CacheStatus.FILLED;
                default -> CacheStatus.HIT;
            };
            engine.attemptEnded(
                    next(sent), responseWithCopy(cacheStatus, source == CopySource.UNCHANGED, originTimeMs));
        }
        return next(responses);
    }

    @AfterEach
    void shutDown() {
        engine.shutDown(List.of());
    }

    /** A rejection promises that a retry does no harm: not behind an attempt of a request that may run only once. */
    @ParameterizedTest
    @CsvSource({READ_CLASS + ", REJECTED", KEYED_READ_CLASS + ", FAILED", UNSAFE_READ_CLASS + ", FAILED"})
    void aWithheldLocalCopyBehindAnAttemptIsRejectedOnlyIfARetryIsSafe(int profile, PendingRequest.Outcome outcome)
            throws InterruptedException {
        Body body = pool.acquire(BODY_BYTES, 0);
        responseCache.store(
                new PendingRequest.ClientRequest("0", profile, "v", 1, 0, 0, 0, 1, null, null, null),
                body,
                "aa",
                OLDEST_ORIGIN_TIME_MS - 1);
        body.release();
        servesLocalCopyAfterAttempt = true;
        engine.start();
        submit("1", profile, null);
        engine.attemptEnded(next(sent), UpstreamOutcome.of(AttemptResult.CONNECTION_LOST));
        assertEquals(outcome, next(responses).outcome());
    }

    @ParameterizedTest
    @EnumSource(CopySource.class)
    void copyOlderThanTheBoundIsNeverDelivered(CopySource source) throws InterruptedException {
        PendingRequest.Response response = responseToCopy(source, OLDEST_ORIGIN_TIME_MS - 1);
        assertEquals(PendingRequest.Outcome.REJECTED, response.outcome());
        assertEquals(0, response.markMs(), "a rejection carries no mark");
        assertEquals(1, counters.get(Counter.REFUSED_BY_HINT));
        assertEquals(1, counters.get(Counter.HINTED));
        if (source == CopySource.LOCAL || source == CopySource.LOCAL_UNCHANGED) {
            assertEquals(0, counters.get(Counter.OWN_COPIES));
            assertEquals(0, sent.size());
        } else {
            assertEquals(new ReportedEnd(AttemptResult.MISS, false, OLDEST_ORIGIN_TIME_MS - 1), next(reportedEnds));
            assertEquals(0, responseCache.heldBuffers(), "a copy that was not delivered is not stored");
            assertEquals(BUFFERS, pool.available(), "the body of a copy that was not delivered is released");
        }
    }

    @ParameterizedTest
    @EnumSource(CopySource.class)
    void copyWithinTheBoundIsDeliveredWithMarkAndAge(CopySource source) throws InterruptedException {
        ageMs = 40;
        PendingRequest.Response response = responseToCopy(source, OLDEST_ORIGIN_TIME_MS);
        boolean unchanged = source == CopySource.UNCHANGED || source == CopySource.LOCAL_UNCHANGED;
        assertEquals(unchanged ? PendingRequest.Outcome.UNCHANGED : PendingRequest.Outcome.SERVED, response.outcome());
        assertEquals(MARK_MS, response.markMs());
        assertEquals(40, response.ageMs());
        assertEquals(1, counters.get(Counter.AGED));
        assertEquals(0, counters.get(Counter.REFUSED_BY_HINT));
        if (response.body() != null) {
            response.body().release();
        }
    }

    /** A copy without an origin time proves no bound; an endpoint may omit the time if the client's copy is current. */
    @Test
    void copyWithoutOriginTimeIsNotDelivered() throws InterruptedException {
        assertEquals(
                PendingRequest.Outcome.REJECTED,
                responseToCopy(CopySource.UNCHANGED, -1).outcome());
        assertEquals(new ReportedEnd(AttemptResult.MISS, false, -1), next(reportedEnds));
    }

    /**
     * At the deadline the policy decides how the request ends, even if the endpoint's connection does not report the
     * end of the cancelled attempt, as on a slow machine: the request must still get its safe rejection.
     */
    @Test
    void overdueRequestEndsOnceAsThePolicyDecides() throws InterruptedException {
        engine.start();
        PendingRequest.Response response = null;
        // On a slow machine the engine may receive a request after its deadline and send nothing; the next one then
        // gets more time.
        for (long timeBudgetUs = 50_000; sent.isEmpty(); timeBudgetUs *= 10) {
            assertEquals(true, timeBudgetUs < 10_000_000, "no attempt was sent before the deadline");
            submit(Long.toString(timeBudgetUs), READ_CLASS, null, timeBudgetUs);
            response = next(responses);
        }
        Attempt attempt = next(sent);
        assertEquals(PendingRequest.Outcome.REJECTED, response.outcome());
        assertEquals(new ReportedEnd(AttemptResult.TIMEOUT, false, 0), next(reportedEnds));
        assertEquals(1, engine.inFlight(), "in flight until the endpoint's connection reports the end of the attempt");
        engine.attemptEnded(attempt, responseWithCopy(CacheStatus.HIT, false, OLDEST_ORIGIN_TIME_MS));
        assertEquals(true, next(reportedEnds).requestCompleted());
        assertEquals(List.of(), List.copyOf(responses));
    }

    /** A write has no read hint to count; its response is checked by the policy like any other. */
    @Test
    void responseToAWriteHasItsMark() throws InterruptedException {
        engine.start();
        submit("1", WRITE_CLASS, null);
        engine.attemptEnded(next(sent), responseWithCopy(CacheStatus.UNKNOWN, false, OLDEST_ORIGIN_TIME_MS));
        PendingRequest.Response response = next(responses);
        assertEquals(MARK_MS, response.markMs());
        assertSame(PendingRequest.Outcome.SERVED, response.outcome());
        assertEquals(0, counters.get(Counter.HINTED));
        response.body().release();
    }
}
