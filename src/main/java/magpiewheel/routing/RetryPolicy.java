package magpiewheel.routing;

/** What the idempotency of a request allows after the attempts it had. The one place that judges effects. */
final class RetryPolicy {
    /**
     * What may follow the attempts so far.
     *
     * @param attempt whether another attempt may start
     * @param reject whether the request may be rejected with the promise that it had no effect
     * @param keyScopeOf the attempt may go only to endpoints that share the idempotency keys of this one; null for any
     */
    record Permit(boolean attempt, boolean reject, Endpoint keyScopeOf) {}

    private final boolean mayHedge;

    RetryPolicy(RequestLimits limits) {
        mayHedge = limits.mayHedge();
    }

    /** Judges by the attempts' outcomes, the class's idempotency and the window of its keys. */
    Permit permit(long now, InFlightRequest request) {
        Attempt mayHaveRun = request.firstThatMayHaveRun();
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT || mayHaveRun == null) {
            return new Permit(mayHedge || request.openAttempts() == 0, true, null);
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return new Permit(false, false, null);
        }
        boolean anywhere = requestClass.keyScope() == IdempotencyKeyScope.ALL;
        boolean remembered = now < retryableUntil(request) - RequestRouter.TICK_US;
        return new Permit(remembered && request.openAttempts() == 0, anywhere, anywhere ? null : mayHaveRun.target);
    }

    /** Until when another attempt may start: while the idempotency key of what may have run is remembered. */
    long retryableUntil(InFlightRequest request) {
        Attempt mayHaveRun =
                request.requestClass.idempotency() == Idempotency.KEYED ? request.firstThatMayHaveRun() : null;
        return mayHaveRun == null ? Long.MAX_VALUE : mayHaveRun.sentAt + request.requestClass.idempotencyWindowUs();
    }
}
