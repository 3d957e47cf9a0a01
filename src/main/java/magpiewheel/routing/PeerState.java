package magpiewheel.routing;

import java.util.List;
import java.util.Map;

/** The last report of a peer and the minimum delay of its messages. */
final class PeerState {
    long lastSentAt = Long.MIN_VALUE;
    long minDelay = Long.MAX_VALUE;
    long receivedAt;
    double fillsInFlight;
    List<EndpointLoad> loads = List.of();

    /** Replaces the previous report, also in the endpoints' load; returns the change in the number of fills. */
    double update(double newFillsInFlight, List<EndpointLoad> newLoads, Map<Long, Endpoint> endpoints) {
        double change = newFillsInFlight - fillsInFlight;
        fillsInFlight = newFillsInFlight;
        addLoads(endpoints, -1);
        loads = newLoads;
        addLoads(endpoints, 1);
        return change;
    }

    private void addLoads(Map<Long, Endpoint> endpoints, int sign) {
        for (EndpointLoad load : loads) {
            Endpoint endpoint = endpoints.get(load.endpointId());
            if (endpoint != null) {
                endpoint.peersInFlight += sign * load.inFlight();
            }
        }
    }
}
