package magpiewheel.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;
import magpiewheel.routing.DeliveryDecision;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.LocalCopy;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingRequest;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.staleness.ReadHint;

/**
 * Manages every request from its receipt until its last attempt has ended, on the engine's actor. Guarantees that each
 * accepted request gets exactly one final response.
 */
final class RequestLifecycle {
    private static final int MAX_IN_FLIGHT = 2_048;
    /** Microseconds after its deadline at which an unanswered request is failed; within the 50 ms of slack. */
    private static final long OVERDUE_GRACE_US = 20_000;

    private static final long DEFAULT_RETRY_AFTER_US = 300_000;
    /** Telling a client that its copy is still current costs this fraction of the transfer. */
    private static final int UNCHANGED_COST_DIVISOR = 20;

    private final UnixClock clock;
    private final Timers timers;
    private final ResponseCache responseCache;
    private final Counters counters;
    private final Upstream upstream;
    private final LongFunction<ListedEndpoint> endpointById;
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final Set<String> tracesInUse = new HashSet<>();
    private final int maxInFlight;
    private final long retryAfterUs;
    private final List<RequestClass> requestClasses;
    private RoutingPolicy routingPolicy;
    private AttemptListener attemptListener =
            (request, endpoint, fillSource, result, cacheStatus, sentAt, endedAt, responseBytes) -> {};
    private long lastRequestId;
    private volatile int inFlight;

    /**
     * Creates the lifecycle of all requests; {@code endpointById} returns the listed endpoint with an identifier, or
     * null.
     */
    RequestLifecycle(
            RoutingSettings settings,
            UnixClock clock,
            Timers timers,
            Counters counters,
            Upstream upstream,
            ResponseCache responseCache,
            LongFunction<ListedEndpoint> endpointById) {
        this.clock = clock;
        this.timers = timers;
        this.counters = counters;
        this.upstream = upstream;
        this.responseCache = responseCache;
        this.endpointById = endpointById;
        this.requestClasses = settings.requestClasses();
        this.maxInFlight = Math.min(settings.limits().maxInFlight(), MAX_IN_FLIGHT);
        this.retryAfterUs = settings.limits().retryAfterUs(DEFAULT_RETRY_AFTER_US);
    }

    /** Sets the routing policy; must be called before anything else. */
    void setRoutingPolicy(RoutingPolicy policy) {
        routingPolicy = policy;
    }

    /** Sets the listener for the end of every attempt. */
    void setAttemptListener(AttemptListener listener) {
        attemptListener = listener;
    }

    /**
     * Returns the retry-after time in microseconds for requests that this router itself rejects; 0 if none may be sent.
     */
    long retryAfterUs() {
        return retryAfterUs;
    }

    /** Returns the number of requests in flight: accepted, and not yet finished. Any thread may call it. */
    int inFlight() {
        return inFlight;
    }

    /** Accepts a request, or responds at once if it cannot be accepted. */
    void accept(PendingRequest pending) {
        long nowUs = clock.now();
        PendingRequest.ClientRequest request = pending.clientRequest;
        if (pending.abandoned()) {
            disconnectedBeforeRouting(pending);
            return;
        }
        if (requests.size() >= maxInFlight) {
            respond(pending, PendingRequest.Response.rejected(retryAfterUs), "in-flight-limit");
            return;
        }
        if (nowUs >= pending.deadlineUs) {
            respond(pending, timeoutResponse(nowUs, pending), "deadline-on-arrival");
            return;
        }
        if (!tracesInUse.add(request.trace())) {
            // Endpoints tell attempts apart by the trace: two requests in flight with the same one could get each
            // other's responses.
            counters.add(Counter.BAD_REQUESTS);
            respond(pending, PendingRequest.Response.failed(), "trace-in-use");
            return;
        }
        pending.id = ++lastRequestId;
        requests.put(pending.id, pending);
        inFlight = requests.size();
        pending.overdueTimer = timers.schedule(pending.deadlineUs + OVERDUE_GRACE_US, () -> endOverdue(pending));
        boolean write = requestClasses.get(request.classIndex()).write();
        if (!write && !request.hint().equals(ReadHint.NONE)) {
            counters.add(Counter.HINTED);
        }
        routingPolicy.requestArrived(
                nowUs,
                RoutingRequest.builder(pending.id, request.classIndex(), Engine.routingObjectId(request.object()))
                        .group(request.group())
                        .sizeKb(request.sizeKb())
                        .timeBudgetUs(pending.deadlineUs - nowUs)
                        .part(request.part())
                        .write(write)
                        .hint(request.hint())
                        .build(),
                write ? null : retainLocalCopy(nowUs, pending));
    }

    /**
     * Returns this router's local copy of the requested object, retained until the request is answered; null if there
     * is none.
     */
    private LocalCopy retainLocalCopy(long nowUs, PendingRequest pending) {
        ResponseCache.Copy copy = responseCache.find(pending.clientRequest);
        if (copy == null) {
            return null;
        }
        copy.body().retain();
        pending.localCopy = copy;
        int bytes = clientCopyIsCurrent(pending)
                ? copy.body().length() / UNCHANGED_COST_DIVISOR
                : copy.body().length();
        return new LocalCopy(
                Math.max(0, nowUs - copy.originTimeMs() * 1_000),
                responseCache.transferUs(bytes),
                responseCache.linkUs(bytes));
    }

    /** Whether the client already holds the same version as the local copy. */
    private static boolean clientCopyIsCurrent(PendingRequest pending) {
        return pending.localCopy.tag().equals(pending.clientRequest.heldTag());
    }

    private static void releaseLocalCopy(PendingRequest pending) {
        if (pending.localCopy != null) {
            pending.localCopy.body().release();
            pending.localCopy = null;
        }
    }

    /**
     * Ends a request that is overdue. Neither a slow endpoint connection nor the routing policy may prevent the final
     * response: attempts whose end was not reported are reported to the policy as ended now, so that it can reject a
     * request that is safe to repeat. If the policy does not respond either, the request fails here.
     */
    private void endOverdue(PendingRequest pending) {
        if (pending.answered) {
            return;
        }
        counters.add(Counter.OVERDUE);
        long nowUs = clock.now();
        for (Attempt attempt : List.copyOf(pending.attempts)) {
            if (!attempt.ended && !pending.answered) {
                AttemptResult result =
                        attempt.cancelled() && !attempt.timedOut ? AttemptResult.CANCELLED : AttemptResult.TIMEOUT;
                routingPolicy.attemptEnded(
                        nowUs,
                        AttemptOutcome.builder(pending.id, attempt.index, attempt.endpointId(), result)
                                .durationUs(nowUs - attempt.sentAtUs())
                                .serverProven(false)
                                .build());
            }
        }
        if (!pending.answered) {
            respond(pending, timeoutResponse(clock.now(), pending), "overdue");
            routingPolicy.clientDisconnected(clock.now(), pending.id);
            removeIfFinished(pending);
        }
    }

    /**
     * Returns a failure, or a rejection if nothing was sent and time ran out only because this router shuts down before
     * the client's deadline: another router may then serve the request.
     */
    private PendingRequest.Response timeoutResponse(long nowUs, PendingRequest pending) {
        return pending.attempts.isEmpty()
                        && pending.deadlineUs < pending.clientDeadlineUs
                        && nowUs < pending.clientDeadlineUs
                ? PendingRequest.Response.rejected(retryAfterUs)
                : PendingRequest.Response.failed();
    }

    /**
     * The client disconnected before the routing policy was notified of the request, so the policy is not called at
     * all.
     */
    private void disconnectedBeforeRouting(PendingRequest pending) {
        counters.add(Counter.GIVEN_UP_BY_CLIENT);
        pending.answered = true;
        removeIfFinished(pending);
    }

    /** The client of a request has disconnected. */
    void clientDisconnected(PendingRequest pending) {
        if (!pending.answered) {
            counters.add(Counter.GIVEN_UP_BY_CLIENT);
            pending.answered = true;
            releaseLocalCopy(pending);
            routingPolicy.clientDisconnected(clock.now(), pending.id);
            removeIfFinished(pending);
        }
    }

    /** Sends the final response; {@code reason} is logged unless the request is served. */
    private void respond(PendingRequest pending, PendingRequest.Response response, String reason) {
        if (pending.answered) {
            if (response.body() != null) {
                response.body().release();
            }
            return;
        }
        pending.answered = true;
        counters.add(
                switch (response.outcome()) {
                    case SERVED -> Counter.SERVED;
                    case UNCHANGED -> Counter.UNCHANGED;
                    case REJECTED -> Counter.REFUSED;
                    case FAILED -> Counter.FAILED;
                });
        if (response.outcome() == PendingRequest.Outcome.REJECTED
                || response.outcome() == PendingRequest.Outcome.FAILED) {
            RequestLog.notServed(pending, response.outcome(), reason, clock.now());
        }
        counters.add(Counter.AGED, response.ageMs() != 0 ? 1 : 0);
        pending.responder.respond(pending, response);
        releaseLocalCopy(pending);
        removeIfFinished(pending);
    }

    private void removeIfFinished(PendingRequest pending) {
        if (pending.answered && pending.openAttempts == 0) {
            if (requests.remove(pending.id, pending)) {
                inFlight = requests.size();
                tracesInUse.remove(pending.clientRequest.trace());
                pending.overdueTimer.cancel();
            }
            if (pending.clientRequest.body() != null && !pending.requestBodyReleased) {
                pending.requestBodyReleased = true;
                pending.clientRequest.body().release();
            }
        }
    }

    /** An attempt has ended; handles only the first report for each attempt. */
    void attemptEnded(Attempt attempt, UpstreamOutcome outcome) {
        PendingRequest pending = attempt.request();
        if (attempt.ended) {
            if (outcome.body() != null) {
                outcome.body().release();
            }
            return;
        }
        attempt.ended = true;
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel();
        }
        pending.openAttempts--;
        if (pending.abandoned()) {
            // The disconnect event may still be queued behind this one: the routing policy must not retry for a client
            // that has gone.
            clientDisconnected(pending);
        }
        AttemptResult result = outcome.result() == AttemptResult.CANCELLED && attempt.timedOut
                ? AttemptResult.TIMEOUT
                : outcome.result();
        long nowUs = clock.now();
        int responseBytes = outcome.body() == null ? 0 : outcome.body().length();
        long originTimeMs = result != AttemptResult.OK ? 0 : outcome.originTimeMs() > 0 ? outcome.originTimeMs() : -1;
        long endedAtUs = Math.min(nowUs, Math.max(attempt.sentAtUs(), outcome.endedAtUs()));
        if (result == AttemptResult.OK) {
            routingPolicy
                    .boundedReads()
                    .responseReceived(pending.id, attempt.index, endedAtUs, outcome.cacheStatus(), originTimeMs);
            result = deliver(nowUs, pending, outcome, originTimeMs) ? AttemptResult.OK : AttemptResult.MISS;
        }
        attempt.result = result;
        countResult(result, outcome.unchanged());
        attemptListener.attemptEnded(
                pending.clientRequest,
                endpointById.apply(attempt.endpointId()),
                endpointById.apply(attempt.plan().fillSource()),
                result,
                outcome.cacheStatus(),
                attempt.sentAtUs(),
                nowUs,
                responseBytes);
        routingPolicy.attemptEnded(
                nowUs,
                AttemptOutcome.builder(pending.id, attempt.index, attempt.endpointId(), result)
                        .durationUs(endedAtUs - attempt.sentAtUs())
                        .requestCompleted(pending.answered)
                        .cacheStatus(outcome.cacheStatus())
                        .firstByteUs(outcome.firstByteUs())
                        .originTimeMs(originTimeMs)
                        .serverProven(outcome.serverProven())
                        .build());
        removeIfFinished(pending);
    }

    /**
     * Delivers a response if its copy meets the request's staleness bound. Otherwise the copy is discarded, and the
     * routing policy is told that the cache did not have it.
     */
    private boolean deliver(long nowUs, PendingRequest pending, UpstreamOutcome outcome, long originTimeMs) {
        DeliveryDecision decision = routingPolicy.evaluateDelivery(nowUs, pending.id, originTimeMs);
        if (!decision.deliver()) {
            if (outcome.body() != null) {
                outcome.body().release();
            }
            return false;
        }
        if (outcome.body() != null && outcome.tag() != null) {
            responseCache.store(pending.clientRequest, outcome.body(), outcome.tag(), outcome.originTimeMs());
        }
        respond(
                pending,
                new PendingRequest.Response(
                        outcome.unchanged() ? PendingRequest.Outcome.UNCHANGED : PendingRequest.Outcome.SERVED,
                        outcome.body(),
                        outcome.tag(),
                        0,
                        false,
                        outcome.cacheStatus(),
                        decision.markMs(),
                        decision.ageMs()),
                "served");
        return true;
    }

    private void countResult(AttemptResult result, boolean unchanged) {
        counters.add(
                switch (result) {
                    case OK -> unchanged ? Counter.KEPT : Counter.DONE;
                    case MISS -> Counter.LACKED;
                    case REJECTED -> Counter.TURNED_AWAY;
                    case ERROR -> Counter.ERRORS;
                    case EXPIRED -> Counter.PAST;
                    case TIMEOUT -> Counter.TIMED_OUT;
                    case CANCELLED -> Counter.CANCELLED;
                    case UNREACHABLE -> Counter.DIALS_FAILED;
                    case CONNECTION_LOST -> Counter.NODE_BROKEN;
                    case CORRUPT -> Counter.SPOILT;
                });
    }

    // ---------------------------------------------------------------- actions of the routing policy

    /** Starts an attempt of a request at an endpoint. */
    void startAttempt(long requestId, long endpointId, AttemptPlan plan) {
        PendingRequest pending = requests.get(requestId);
        if (pending == null || pending.answered) {
            return;
        }
        long nowUs = clock.now();
        long timeoutAtUs = plan.deadlineUs() > 0 ? Math.min(plan.deadlineUs(), pending.deadlineUs) : pending.deadlineUs;
        Attempt attempt = new Attempt(pending, pending.attempts.size(), endpointId, plan, nowUs, timeoutAtUs);
        pending.attempts.add(attempt);
        pending.openAttempts++;
        counters.add(Counter.ATTEMPTS);
        if (attempt.index > 0) {
            RequestLog.retry(pending, attempt);
        }
        if (pending.abandoned()) {
            timers.runNext(() -> attemptEnded(attempt, UpstreamOutcome.of(AttemptResult.CANCELLED)));
            return;
        }
        if (!upstream.send(attempt)) {
            timers.runNext(() -> attemptEnded(attempt, UpstreamOutcome.of(AttemptResult.REJECTED)));
            return;
        }
        attempt.timeoutTimer = timers.schedule(timeoutAtUs, () -> {
            attempt.timedOut = !attempt.ended && !attempt.cancelled();
            cancelOnce(attempt);
        });
    }

    /** Cancels an attempt. */
    void cancelAttempt(long requestId, int attempt) {
        PendingRequest pending = requests.get(requestId);
        if (pending != null && attempt < pending.attempts.size()) {
            cancelOnce(pending.attempts.get(attempt));
        }
    }

    /** Serves the router's local copy if it meets the request's staleness bound, and rejects the request otherwise. */
    void serveLocalCopy(long requestId) {
        PendingRequest pending = requests.get(requestId);
        if (pending != null && pending.localCopy != null && !pending.answered) {
            DeliveryDecision decision =
                    routingPolicy.evaluateDelivery(clock.now(), requestId, pending.localCopy.originTimeMs());
            if (!decision.deliver()) {
                counters.add(Counter.REFUSED_BY_HINT);
                respond(
                        pending,
                        mayReject(pending)
                                ? PendingRequest.Response.rejected(retryAfterUs)
                                : PendingRequest.Response.failed(),
                        "copy-too-old");
                return;
            }
            counters.add(Counter.OWN_COPIES);
            boolean unchanged = clientCopyIsCurrent(pending);
            if (!unchanged) {
                pending.localCopy.body().retain();
            }
            respond(
                    pending,
                    new PendingRequest.Response(
                            unchanged ? PendingRequest.Outcome.UNCHANGED : PendingRequest.Outcome.SERVED,
                            unchanged ? null : pending.localCopy.body(),
                            pending.localCopy.tag(),
                            0,
                            true,
                            CacheStatus.UNKNOWN,
                            decision.markMs(),
                            decision.ageMs()),
                    "served");
        }
    }

    /** Whether a rejection may promise that a retry does no harm. */
    private boolean mayReject(PendingRequest pending) {
        RequestClass requestClass = requestClasses.get(pending.clientRequest.classIndex());
        return pending.attempts.isEmpty() || requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Rejects a request. */
    void reject(long requestId, long backoffUs) {
        counters.add(Counter.REFUSED_BY_HINT, routingPolicy.boundedReads().isUnproven(requestId) ? 1 : 0);
        PendingRequest pending = requests.get(requestId);
        if (pending != null) {
            respond(pending, PendingRequest.Response.rejected(backoffUs), "routing-policy");
        }
    }

    /** Fails a request, or rejects it if only this router's shutdown cut its time short. */
    void fail(long requestId) {
        PendingRequest pending = requests.get(requestId);
        if (pending != null) {
            respond(pending, timeoutResponse(clock.now(), pending), "routing-policy");
        }
    }

    private void cancelOnce(Attempt attempt) {
        if (!attempt.ended && attempt.markCancelled()) {
            upstream.cancel(attempt);
        }
    }
}
