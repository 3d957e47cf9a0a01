package magpiewheel.engine;

import magpiewheel.routing.AttemptPlan;

/** One try of a call at a node. The module's actor owns it; the node's actor reads what does not change. */
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

    /** The request it is for. */
    public PendingRequest request() {
        return request;
    }

    /** Where it goes. */
    public long endpointId() {
        return endpointId;
    }

    /** How it is to be served. */
    public AttemptPlan plan() {
        return plan;
    }

    /** When the module decided on it. */
    public long sentAtUs() {
        return sentAtUs;
    }

    /** When it will be called off. */
    public long timeoutAtUs() {
        return timeoutAtUs;
    }

    /** From when on it may not begin any more: what its module decided by may not hold any longer. */
    public long startByUs() {
        return plan.startByUs();
    }

    /** Whether it is to be given up. */
    public boolean cancelled() {
        return cancelled;
    }

    /** Whether it may still be written to its node at a time; looked at right before that, on the node's actor. */
    public boolean mayStart(long nowUs) {
        return !cancelled && !request.abandoned() && nowUs < plan.startByUs();
    }

    /** Marks it; false where it was marked before, so that it is called off once. */
    boolean markCancelled() {
        boolean first = !cancelled;
        cancelled = true;
        return first;
    }

    /** Whatever the upstream side wants to find again when the attempt is called off. */
    public Object upstreamContext() {
        return upstreamContext;
    }

    /** Sets it; on the module's actor. */
    public void upstreamContext(Object value) {
        upstreamContext = value;
    }
}
