package magpiewheel.routing;

import java.util.function.LongSupplier;
import magpiewheel.support.Fingerprint;

/** Passes actions of one instance on, and folds each with its time and all of its values into a fingerprint. */
final class FingerprintedActions implements RoutingActions {
    private enum Kind {
        ATTEMPT,
        CANCEL,
        OWN,
        REFUSE,
        FAIL,
        TIMER,
        PROBE,
        TELL,
        KNOCK,
        SUBSCRIBE,
        FETCH_LIST
    }

    private final RoutingActions next;
    private final Fingerprint fingerprint;
    private final int instance;
    private final LongSupplier clock;

    FingerprintedActions(RoutingActions next, Fingerprint fingerprint, int instance, LongSupplier clock) {
        this.next = next;
        this.fingerprint = fingerprint;
        this.instance = instance;
        this.clock = clock;
    }

    private Fingerprint add(Kind kind) {
        return fingerprint.add((long) kind.ordinal()).add((long) instance).add(clock.getAsLong());
    }

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        add(Kind.ATTEMPT).add(request).add(node);
        fingerprint
                .add((long) plan.retentionRank())
                .add(plan.deadlineUs())
                .add(plan.joinFill())
                .add(plan.cachedOnly())
                .add(plan.bypassParentCache())
                .add(plan.revalidate())
                .add(plan.fillSource())
                .add(plan.maxAgeUs())
                .add(plan.startByUs());
        next.startAttempt(request, node, plan);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        add(Kind.CANCEL).add(request).add((long) attempt);
        next.cancelAttempt(request, attempt);
    }

    @Override
    public void serveLocalCopy(long request) {
        add(Kind.OWN).add(request);
        next.serveLocalCopy(request);
    }

    @Override
    public void reject(long request, long backoffUs) {
        add(Kind.REFUSE).add(request).add(backoffUs);
        next.reject(request, backoffUs);
    }

    @Override
    public void fail(long request) {
        add(Kind.FAIL).add(request);
        next.fail(request);
    }

    @Override
    public void setTimer(long atUs, long handle) {
        add(Kind.TIMER).add(atUs).add(handle);
        next.setTimer(atUs, handle);
    }

    @Override
    public void checkHealth(long node) {
        add(Kind.PROBE).add(node);
        next.checkHealth(node);
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {
        add(Kind.TELL).add((long) recipient).add(message);
        next.sendToPeer(recipient, message);
    }

    @Override
    public void probeReachability(int director, long at) {
        add(Kind.KNOCK).add((long) director).add(at);
        next.probeReachability(director, at);
    }

    @Override
    public void subscribe(boolean on) {
        add(Kind.SUBSCRIBE).add(on);
        next.subscribe(on);
    }

    @Override
    public void fetchEndpointList() {
        add(Kind.FETCH_LIST);
        next.fetchEndpointList();
    }

    /** Log lines are wording: they are no part of the fingerprint. */
    @Override
    public void log(String line) {
        next.log(line);
    }
}
