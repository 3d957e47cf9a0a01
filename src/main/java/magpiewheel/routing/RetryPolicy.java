package magpiewheel.routing;

/**
 * Decides what the idempotency of a request permits after its attempts so far. Only this class decides whether an
 * attempt may have had effects that forbid another one.
 */
final class RetryPolicy {
    /**
     * What is permitted after the attempts so far.
     *
     * @param mayAttempt whether another attempt may start
     * @param mayReject whether the request may be rejected with the promise that it had no effect
     * @param keyScope the endpoints that the attempt may be sent to
     */
    record Permit(boolean mayAttempt, boolean mayReject, KeyScope keyScope) {
        /** Whether an attempt may start at an endpoint. Every attempt of every class and route is subject to this. */
        boolean allows(Endpoint target) {
            return mayAttempt && keyScope.contains(target);
        }
    }

    private final boolean mayHedge;

    RetryPolicy(RequestLimits limits) {
        mayHedge = limits.mayHedge();
    }

    /** Returns what the attempts' outcomes, the class's idempotency and its idempotency window permit. */
    Permit permit(long now, InFlightRequest request) {
        Attempt mayHaveRun = request.firstAttemptThatMayHaveRun();
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT || mayHaveRun == null) {
            return new Permit(mayHedge || request.openAttempts() == 0, true, KeyScope.UNLIMITED);
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return new Permit(false, false, KeyScope.UNLIMITED);
        }
        boolean keysKnownEverywhere = requestClass.keyScope() == IdempotencyKeyScope.ALL;
        boolean keyRemembered = now < retryableUntil(request) - RequestRouter.TICK_INTERVAL_US;
        return new Permit(
                keyRemembered && request.openAttempts() == 0,
                keysKnownEverywhere,
                KeyScope.of(requestClass, mayHaveRun));
    }

    /**
     * Returns until when another attempt may start: while the endpoint remembers the idempotency key of the attempt
     * that may have run; {@link Long#MAX_VALUE} if there is no such limit.
     */
    long retryableUntil(InFlightRequest request) {
        Attempt mayHaveRun =
                request.requestClass.idempotency() == Idempotency.KEYED ? request.firstAttemptThatMayHaveRun() : null;
        return mayHaveRun == null ? Long.MAX_VALUE : mayHaveRun.sentAt + request.requestClass.idempotencyWindowUs();
    }
}
