package magpiewheel.engine;

import magpiewheel.routing.AttemptPlan;

/** One try of a call at a node. The module's actor owns it; the node's actor reads what does not change. */
public final class Attempt {
    private final PendingRequest call;
    final int index;
    private final long node;
    private final AttemptPlan plan;
    private final long sentAt;
    private final long stopAt;
    private Object carrier;
    Timers.Timer stopTimer;
    boolean ended;
    boolean timedOut;
    private volatile boolean calledOff;

    Attempt(PendingRequest call, int index, long node, AttemptPlan plan, long sentAt, long stopAt) {
        this.call = call;
        this.index = index;
        this.node = node;
        this.plan = plan;
        this.sentAt = sentAt;
        this.stopAt = stopAt;
    }

    /** The request it is for. */
    public PendingRequest call() {
        return call;
    }

    /** Where it goes. */
    public long node() {
        return node;
    }

    /** How it is to be served. */
    public AttemptPlan plan() {
        return plan;
    }

    /** When the module decided on it. */
    public long sentAt() {
        return sentAt;
    }

    /** When it will be called off. */
    public long stopAt() {
        return stopAt;
    }

    /** From when on it may not begin any more: what its module decided by may not hold any longer. */
    public long beginBy() {
        return plan.startByUs();
    }

    /** Whether it is to be given up. */
    public boolean calledOff() {
        return calledOff;
    }

    /** Whether it may still be written to its node at a time; looked at right before that, on the node's actor. */
    public boolean mayBegin(long now) {
        return !calledOff && !call.abandoned() && now < plan.startByUs();
    }

    /** Marks it; false where it was marked before, so that it is called off once. */
    boolean callOff() {
        boolean first = !calledOff;
        calledOff = true;
        return first;
    }

    /** Whatever the upstream side wants to find again when the attempt is called off. */
    public Object carrier() {
        return carrier;
    }

    /** Sets it; on the module's actor. */
    public void carrier(Object value) {
        carrier = value;
    }
}
