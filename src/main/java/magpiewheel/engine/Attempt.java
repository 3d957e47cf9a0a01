package magpiewheel.engine;

import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.AttemptResult;

/**
 * One sending of a request to an endpoint. Owned by the engine's actor; the endpoint's actor reads only its immutable
 * and volatile fields.
 */
public final class Attempt {
    private final PendingRequest request;
    final int index;
    private final long endpointId;
    private final AttemptPlan plan;
    private final long sentAtUs;
    private final long timeoutAtUs;
    private Object upstreamContext;
    Timers.Timer timeoutTimer;
    boolean ended;
    /** How it ended; null while it is open. */
    AttemptResult result;

    boolean timedOut;
    private volatile boolean cancelled;

    Attempt(PendingRequest request, int index, long endpointId, AttemptPlan plan, long sentAtUs, long timeoutAtUs) {
        this.request = request;
        this.index = index;
        this.endpointId = endpointId;
        this.plan = plan;
        this.sentAtUs = sentAtUs;
        this.timeoutAtUs = timeoutAtUs;
    }

    /** Returns the request that the attempt belongs to. */
    public PendingRequest request() {
        return request;
    }

    /** Returns the identifier of the endpoint that it is sent to. */
    public long endpointId() {
        return endpointId;
    }

    /** Returns how the endpoint is to serve it. */
    public AttemptPlan plan() {
        return plan;
    }

    /** Returns when the routing policy started it, in Unix microseconds. */
    public long sentAtUs() {
        return sentAtUs;
    }

    /** Returns when it times out and is cancelled, in Unix microseconds. */
    public long timeoutAtUs() {
        return timeoutAtUs;
    }

    /**
     * Returns the Unix microseconds from which it must not be written any more: what the routing policy based its
     * decision on may no longer hold then.
     */
    public long startByUs() {
        return plan.startByUs();
    }

    /** Whether it was cancelled. */
    public boolean cancelled() {
        return cancelled;
    }

    /**
     * Whether it may still be written to its endpoint at this time (Unix microseconds); checked on the endpoint's actor
     * right before the write.
     */
    public boolean mayStart(long nowUs) {
        return !cancelled && !request.abandoned() && nowUs < plan.startByUs();
    }

    /** Marks it as cancelled; returns false if it was already, so that it is cancelled only once. */
    boolean markCancelled() {
        boolean first = !cancelled;
        cancelled = true;
        return first;
    }

    /** Returns the object that the upstream side stored with it, to find it again when the attempt is cancelled. */
    public Object upstreamContext() {
        return upstreamContext;
    }

    /** Stores an object of the upstream side with it; called on the engine's actor. */
    public void upstreamContext(Object value) {
        upstreamContext = value;
    }
}
