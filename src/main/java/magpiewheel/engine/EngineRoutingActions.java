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
    public void startAttempt(long requestId, long endpointId, AttemptPlan plan) {
        requestLifecycle.startAttempt(requestId, endpointId, plan);
    }

    @Override
    public void cancelAttempt(long requestId, int attemptIndex) {
        requestLifecycle.cancelAttempt(requestId, attemptIndex);
    }

    @Override
    public void serveLocalCopy(long requestId) {
        requestLifecycle.serveLocalCopy(requestId);
    }

    @Override
    public void reject(long requestId, long backoffUs) {
        requestLifecycle.reject(requestId, backoffUs);
    }

    @Override
    public void fail(long requestId) {
        requestLifecycle.fail(requestId);
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
    public void sendToPeer(int routerId, byte[] message) {
        peerTransport.send(routerId, message);
    }

    @Override
    public void probeReachability(int routerId, long atUs) {
        peerTransport.probe(routerId, atUs);
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
