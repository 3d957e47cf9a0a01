package magpiewheel.routing;

import java.util.List;
import java.util.Map;

/** What is known of another director of the location. */
final class PeerState {
    long lastSentAt = Long.MIN_VALUE;
    long leastDelay = Long.MAX_VALUE;
    long heardAt;
    double fillsInFlight;
    List<EndpointLoad> loads = List.of();

    /** Puts what it tells now in the place of what it told before; returns the change in its fills. */
    double update(double nowFills, List<EndpointLoad> nowLoads, Map<Long, Endpoint> nodes) {
        double change = nowFills - fillsInFlight;
        fillsInFlight = nowFills;
        count(nodes, -1);
        loads = nowLoads;
        count(nodes, 1);
        return change;
    }

    private void count(Map<Long, Endpoint> nodes, int sign) {
        for (EndpointLoad load : loads) {
            Endpoint node = nodes.get(load.endpointId());
            if (node != null) {
                node.peersInFlight += sign * load.inFlight();
            }
        }
    }
}
