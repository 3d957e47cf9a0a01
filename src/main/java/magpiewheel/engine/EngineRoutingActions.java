package magpiewheel.engine;

import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.RoutingActions;
import magpiewheel.routing.RoutingPolicy;

/** What the module asks for. The module is never called from inside one of its own calls. */
final class EngineRoutingActions implements RoutingActions {
    private final UnixClock clock;
    private final Timers timers;
    private final RequestLifecycle requests;
    private final Engine.Peers peers;
    private RoutingPolicy director;

    EngineRoutingActions(UnixClock clock, Timers timers, RequestLifecycle requests, Engine.Peers peers) {
        this.clock = clock;
        this.timers = timers;
        this.requests = requests;
        this.peers = peers;
    }

    /** Names the module that its timers are told to; before the first of them is due. */
    void module(RoutingPolicy asks) {
        director = asks;
    }

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        requests.attempt(request, node, plan);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        requests.cancel(request, attempt);
    }

    @Override
    public void serveLocalCopy(long request) {
        requests.serveOwn(request);
    }

    @Override
    public void reject(long request, long backoffUs) {
        requests.refuse(request, backoffUs);
    }

    @Override
    public void fail(long request) {
        requests.fail(request);
    }

    @Override
    public void setTimer(long atUs, long handle) {
        timers.at(atUs, () -> director.timerExpired(clock.now(), handle));
    }

    @Override
    public void checkHealth(long node) {
        // Nodes are never probed on this platform; the module knows from its settings.
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {
        peers.tell(recipient, message);
    }

    @Override
    public void probeReachability(int recipient, long at) {
        peers.knock(recipient, at);
    }

    @Override
    public void subscribe(boolean on) {
        // The board sends its changes unasked.
    }

    @Override
    public void fetchEndpointList() {
        // Likewise.
    }

    @Override
    public void log(String line) {
        System.err.println(line);
    }
}
