package magpiewheel.routing;

/** What the idempotency of a request allows after the attempts it had. The one place that judges effects. */
final class RetryPolicy {
    /**
     * What may follow the attempts so far.
     *
     * @param mayAttempt whether another attempt may start
     * @param mayReject whether the request may be rejected with the promise that it had no effect
     * @param keyScopeEndpoint the attempt may go only to endpoints that share the idempotency keys of this one; null
     *     for any
     */
    record Permit(boolean mayAttempt, boolean mayReject, Endpoint keyScopeEndpoint) {}

    private final boolean mayHedge;

    RetryPolicy(RequestLimits limits) {
        mayHedge = limits.mayHedge();
    }

    /** Judges by the attempts' outcomes, the class's idempotency and the window of its keys. */
    Permit permit(long now, InFlightRequest request) {
        Attempt mayHaveRun = request.firstAttemptThatMayHaveRun();
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT || mayHaveRun == null) {
            return new Permit(mayHedge || request.openAttempts() == 0, true, null);
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return new Permit(false, false, null);
        }
        boolean keysKnownEverywhere = requestClass.keyScope() == IdempotencyKeyScope.ALL;
        boolean keyRemembered = now < retryableUntil(request) - RequestRouter.TICK_INTERVAL_US;
        return new Permit(
                keyRemembered && request.openAttempts() == 0,
                keysKnownEverywhere,
                keysKnownEverywhere ? null : mayHaveRun.target);
    }

    /** Until when another attempt may start: while the idempotency key of what may have run is remembered. */
    long retryableUntil(InFlightRequest request) {
        Attempt mayHaveRun =
                request.requestClass.idempotency() == Idempotency.KEYED ? request.firstAttemptThatMayHaveRun() : null;
        return mayHaveRun == null ? Long.MAX_VALUE : mayHaveRun.sentAt + request.requestClass.idempotencyWindowUs();
    }
}
