package magpiewheel.engine;

import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.RoutingActions;
import magpiewheel.routing.RoutingPolicy;

/**
 * Carries out the actions of the routing policy. The policy is never called from inside one of its own actions, except
 * to evaluate a delivery.
 */
final class EngineRoutingActions implements RoutingActions {
    private final UnixClock clock;
    private final Timers timers;
    private final RequestLifecycle requestLifecycle;
    private final Engine.PeerTransport peerTransport;
    private RoutingPolicy routingPolicy;

    EngineRoutingActions(
            UnixClock clock, Timers timers, RequestLifecycle requestLifecycle, Engine.PeerTransport peerTransport) {
        this.clock = clock;
        this.timers = timers;
        this.requestLifecycle = requestLifecycle;
        this.peerTransport = peerTransport;
    }

    /** Sets the routing policy whose timers expire; called before the first timer is due. */
    void setRoutingPolicy(RoutingPolicy policy) {
        routingPolicy = policy;
    }

    @Override
    public void startAttempt(long request, long endpointId, AttemptPlan plan) {
        requestLifecycle.startAttempt(request, endpointId, plan);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        requestLifecycle.cancelAttempt(request, attempt);
    }

    @Override
    public void serveLocalCopy(long request) {
        requestLifecycle.serveLocalCopy(request);
    }

    @Override
    public void reject(long request, long backoffUs) {
        requestLifecycle.reject(request, backoffUs);
    }

    @Override
    public void fail(long request) {
        requestLifecycle.fail(request);
    }

    @Override
    public void setTimer(long atUs, long handle) {
        timers.schedule(atUs, () -> routingPolicy.timerExpired(clock.now(), handle));
    }

    @Override
    public void checkHealth(long endpointId) {
        // Endpoints are never probed on this platform; the routing policy knows that from its settings.
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {
        peerTransport.send(recipient, message);
    }

    @Override
    public void probeReachability(int recipient, long atUs) {
        peerTransport.probe(recipient, atUs);
    }

    @Override
    public void subscribe(boolean on) {
        // Discovery sends its changes without a subscription.
    }

    @Override
    public void fetchEndpointList() {
        // Discovery sends the endpoint list without a request.
    }

    @Override
    public void log(String line) {
        System.err.println(line);
    }
}
