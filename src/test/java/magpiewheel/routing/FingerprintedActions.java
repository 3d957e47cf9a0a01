package magpiewheel.routing;

import java.util.function.LongSupplier;
import magpiewheel.support.Fingerprint;

/** Adds each action of one router, with its time and all of its values, to a fingerprint, and then delegates it. */
final class FingerprintedActions implements RoutingActions {
    /** The actions; ordinals are part of the fingerprint, so the order stays. */
    private enum Call {
        START_ATTEMPT,
        CANCEL_ATTEMPT,
        SERVE_LOCAL_COPY,
        REJECT,
        FAIL,
        SET_TIMER,
        CHECK_HEALTH,
        SEND_TO_PEER,
        PROBE_REACHABILITY,
        SUBSCRIBE,
        FETCH_ENDPOINT_LIST
    }

    private final RoutingActions delegate;
    private final Fingerprint fingerprint;
    private final int routerId;
    private final LongSupplier clock;

    FingerprintedActions(RoutingActions delegate, Fingerprint fingerprint, int routerId, LongSupplier clock) {
        this.delegate = delegate;
        this.fingerprint = fingerprint;
        this.routerId = routerId;
        this.clock = clock;
    }

    private Fingerprint add(Call call) {
        return fingerprint.add((long) call.ordinal()).add((long) routerId).add(clock.getAsLong());
    }

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        add(Call.START_ATTEMPT).add(request).add(node);
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
        delegate.startAttempt(request, node, plan);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        add(Call.CANCEL_ATTEMPT).add(request).add((long) attempt);
        delegate.cancelAttempt(request, attempt);
    }

    @Override
    public void serveLocalCopy(long request) {
        add(Call.SERVE_LOCAL_COPY).add(request);
        delegate.serveLocalCopy(request);
    }

    @Override
    public void reject(long request, long backoffUs) {
        add(Call.REJECT).add(request).add(backoffUs);
        delegate.reject(request, backoffUs);
    }

    @Override
    public void fail(long request) {
        add(Call.FAIL).add(request);
        delegate.fail(request);
    }

    @Override
    public void setTimer(long atUs, long handle) {
        add(Call.SET_TIMER).add(atUs).add(handle);
        delegate.setTimer(atUs, handle);
    }

    @Override
    public void checkHealth(long node) {
        add(Call.CHECK_HEALTH).add(node);
        delegate.checkHealth(node);
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {
        add(Call.SEND_TO_PEER).add((long) recipient).add(message);
        delegate.sendToPeer(recipient, message);
    }

    @Override
    public void probeReachability(int router, long atUs) {
        add(Call.PROBE_REACHABILITY).add((long) router).add(atUs);
        delegate.probeReachability(router, atUs);
    }

    @Override
    public void subscribe(boolean on) {
        add(Call.SUBSCRIBE).add(on);
        delegate.subscribe(on);
    }

    @Override
    public void fetchEndpointList() {
        add(Call.FETCH_ENDPOINT_LIST);
        delegate.fetchEndpointList();
    }

    /** Delegates the line. Log texts are not part of the fingerprint, so their wording may change. */
    @Override
    public void log(String line) {
        delegate.log(line);
    }
}
