package magpiewheel.routing;

import magpiewheel.membership.MembershipView;
import magpiewheel.region.SlowStartProfile;

/**
 * Limits the work that this router sends to a recently started endpoint to its share of what the endpoint tolerates
 * according to the settings, so that all routers together stay within that.
 */
final class SlowStart {
    /** Share of the budget that is used, because the work of an attempt is an estimate. */
    private static final double SAFETY_FACTOR = 0.6;
    /** Concurrent transfers that a warm cache of unknown size is assumed to carry: those of a small machine. */
    private static final double MIN_CAPACITY = 3;
    /** Minimum share of the capacity of all zones' links that the parents together are assumed to be sized for. */
    private static final double PARENT_CAPACITY_SHARE = 0.6;

    private final RoutingSettings settings;
    private final RouterTopology topology;
    private final EndpointTable endpoints;
    private final MembershipView membership;

    SlowStart(RoutingSettings settings, EndpointTable endpoints, MembershipView membership) {
        this.settings = settings;
        this.topology = settings.topology();
        this.endpoints = endpoints;
        this.membership = membership;
    }

    /** Whether an endpoint tolerates this much more work from this router; always true for a warm one. */
    boolean hasBudget(long now, Endpoint endpoint, double workUs) {
        SlowStartProfile profile = settings.safetyLimits().slowStart(endpoint.isParent());
        long sinceStart = now - endpoint.info.startedUs();
        boolean warm = endpoint.info.startedUs() <= 0 || sinceStart >= profile.warmUpUs() + profile.overloadWindowUs();
        if (warm || endpoint.isOrigin()) {
            return true;
        }
        // The routers of a cache's zone divide its budget; routers of other zones have no share.
        if (endpoint.isCache() && endpoint.info.zone() != topology.zone()) {
            return false;
        }
        double tolerated = SAFETY_FACTOR * profile.tolerableWork(sinceStart) * capacity(endpoint);
        double share = tolerated / routersSharing(now, endpoint);
        double spent = endpoint.recentWork.at(now);
        return spent + workUs <= share || spent == 0 && windowDraw(now, endpoint, profile) * workUs < share;
    }

    private double routersSharing(long now, Endpoint endpoint) {
        return endpoint.isParent()
                ? membership.quotaDivisor(now)
                : membership.quotaDivisorIn(now, endpoint.info.zone());
    }

    /**
     * Returns a pseudo-random number from 0 to 1, a new one for each window, so that a share of less than one request
     * admits one request in some of the windows.
     */
    private double windowDraw(long now, Endpoint endpoint, SlowStartProfile profile) {
        long windowUs = Math.max(1, profile.overloadWindowUs());
        long router = RendezvousHash.mix(topology.routerId());
        long window = Math.floorDiv(now + Math.floorMod(router, windowUs), windowUs);
        return RendezvousHash.toUnitInterval(router ^ RendezvousHash.mix(window ^ endpoint.hash));
    }

    /**
     * Returns a low estimate of the concurrent transfers that a warm endpoint carries: from its weight, or for a parent
     * from the links that it serves.
     */
    double capacity(Endpoint endpoint) {
        double weight = endpoint.info.weight();
        if (settings.weightSource() == WeightSource.NOMINAL || settings.weightSource() == WeightSource.ROUGH) {
            return Math.min(weight, Math.max(MIN_CAPACITY, weight * SAFETY_FACTOR));
        }
        double share = PARENT_CAPACITY_SHARE
                * topology.transferCapacityOfAllLinks()
                / Math.max(1, endpoints.parents().size());
        return endpoint.isParent() ? Math.max(MIN_CAPACITY, share) : MIN_CAPACITY;
    }
}
