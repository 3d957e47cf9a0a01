package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;

/** Selects the fill source of a cache miss: a parent, or the origin itself. */
final class FillSourceSelector {
    /** Share of a class's latency objective up to which a difference in parents' latencies is ignored. */
    private static final double LATENCY_TOLERANCE = 0.25;

    private final EndpointTable endpoints;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final OriginHealth originHealth;
    private final TransferTimes transfers;
    private final RegionBridge regions;
    private final StalenessBridge staleness;

    FillSourceSelector(RoutingState state, OutlierDetector outliers, SlowStart slowStart, OriginHealth originHealth) {
        this.endpoints = state.endpoints();
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.originHealth = originHealth;
        this.transfers = state.transfers();
        this.regions = state.regions();
        this.staleness = state.staleness();
    }

    /**
     * Returns a usable parent unless it is too slow and the origin is faster, else the origin while it has capacity,
     * else any parent, or null.
     */
    Endpoint select(long now, InFlightRequest request) {
        return select(now, request, KeyScope.UNLIMITED);
    }

    /** Returns the same of the endpoints in a key scope, for a read that is sent to the source itself. */
    Endpoint select(long now, InFlightRequest request, KeyScope keyScope) {
        Endpoint parent = request.boundUnproven ? null : parent(now, request, false, keyScope);
        Endpoint origin = originIn(keyScope);
        boolean originHasCapacity =
                origin != null && (endpoints.parents().isEmpty() || origin.fillsInFlight < origin.concurrencyLimit);
        if (parent != null && !(originHasCapacity && isSlowerThanOrigin(now, parent, origin, request))) {
            return parent;
        }
        return originHasCapacity ? origin : parent(now, request, true, keyScope);
    }

    private Endpoint originIn(KeyScope keyScope) {
        Endpoint origin = endpoints.origin();
        return origin != null && keyScope.contains(origin) ? origin : null;
    }

    /** Whether a parent exceeds the latency objective and is slower than the origin, which is not degraded. */
    private boolean isSlowerThanOrigin(long now, Endpoint parent, Endpoint origin, InFlightRequest request) {
        double latencyUs = parent.fillLatency.or(now, 0);
        return latencyUs > request.requestClass.latencyObjectiveUs()
                && latencyUs > origin.fillLatency.or(now, 0)
                && !originHealth.isDegraded(now);
    }

    /**
     * Returns the usable parent that leads the region; without one, the faster of two parents, where a parent not
     * measured lately counts as average.
     *
     * @param includeUnhealthy whether ejected parents, and those that already failed the request, are included
     */
    Endpoint parent(long now, InFlightRequest request, boolean includeUnhealthy) {
        return parent(now, request, includeUnhealthy, KeyScope.UNLIMITED);
    }

    private Endpoint parent(long now, InFlightRequest request, boolean includeUnhealthy, KeyScope keyScope) {
        long objectId = request.request.objectId();
        double workUs = transfers.conservativeUs(request.request.requestClass());
        List<Endpoint> usable = new ArrayList<>(endpoints.parents());
        usable.removeIf(parent -> !keyScope.contains(parent) || !slowStart.hasBudget(now, parent, workUs));
        usable.removeIf(parent -> !includeUnhealthy && (!outliers.isUsable(now, parent) || request.failedVia(parent)));
        Endpoint leader = usable.isEmpty() ? null : regions.leaderAmong(now, usable, objectId, workUs);
        if (usable.isEmpty() || leader != null) {
            return includeUnhealthy || staleness.mayHoldAcceptableCopy(now, request, leader) ? leader : null;
        }
        return fasterOfTwo(now, request, usable);
    }

    /**
     * Returns the faster of the first two parents in rendezvous order. The two are the same for each request of an
     * object, so that the object is not cached at every parent in turn.
     */
    private static Endpoint fasterOfTwo(long now, InFlightRequest request, List<Endpoint> usable) {
        long objectId = request.request.objectId();
        List<Endpoint> measured = usable.stream()
                .filter(parent -> parent.fillLatency.isFresh(now))
                .toList();
        double average = Endpoint.mean(measured, parent -> parent.fillLatency.or(now, 0));
        Endpoint first = RendezvousHash.first(usable, objectId);
        usable.remove(first);
        Endpoint second = usable.isEmpty() ? first : RendezvousHash.first(usable, objectId);
        double differenceUs = first.fillLatency.or(now, average) - second.fillLatency.or(now, average);
        return differenceUs > LATENCY_TOLERANCE * request.requestClass.latencyObjectiveUs() ? second : first;
    }
}
