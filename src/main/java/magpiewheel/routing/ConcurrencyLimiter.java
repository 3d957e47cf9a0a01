package magpiewheel.routing;

import java.util.List;

/**
 * Adapts concurrency limits (additive increase for responses in time, decrease for late ones): of attempts at each
 * endpoint, and of fills over the zone's link. Peers report their limits, and those of a zone converge to the average.
 */
final class ConcurrencyLimiter {
    /** Initial limit of an endpoint, in attempts. */
    static final double INITIAL_LIMIT = 16;
    /** Minimum limit of an endpoint, in attempts: the cores of a small machine. */
    static final double MIN_LIMIT = 4;
    /**
     * Initial fill limit as a multiple of the transfers that the link carries at a client's rate; the latency objective
     * leaves time for more than one.
     */
    private static final double INITIAL_FILLS_PER_LINK_TRANSFER = 2;
    /**
     * What a response in time adds to a limit in use, and a late one subtracts: a limit is stable with one late
     * response in eleven.
     */
    private static final double INCREASE = 0.08;

    private static final double DECREASE = 0.8;

    private final EndpointTable endpoints;
    private final PeerReports peers;
    private final OriginHealth originHealth;
    /** Fills that the zone's link carries at a client's rate: the minimum of the fill limit. */
    private final double linkTransfers;
    /** Maximum number of fills that the zone's link and the fill sources carry in time. */
    private double fillLimit;
    /** Expected number of fills of this router in flight. */
    private double ownFills;

    ConcurrencyLimiter(RouterTopology topology, EndpointTable endpoints, PeerReports peers, OriginHealth originHealth) {
        this.endpoints = endpoints;
        this.peers = peers;
        this.originHealth = originHealth;
        linkTransfers = Math.max(MIN_LIMIT, topology.transferCapacityOfOwnLink());
        fillLimit = INITIAL_FILLS_PER_LINK_TRANSFER * linkTransfers;
    }

    /** Whether one more attempt with this fill probability stays within a multiple of the fill limit. */
    boolean admitsFill(double probability, double limitFactor) {
        return fillsInFlight() + probability <= fillLimit * limitFactor;
    }

    /** Returns the expected number of fills in flight into the zone, including those that peers reported. */
    private double fillsInFlight() {
        return ownFills + peers.fillsInFlight();
    }

    /** Returns the expected number of fills of this router in flight. */
    double ownFills() {
        return ownFills;
    }

    /** Returns the limit of fills into the zone. */
    double fillLimit() {
        return fillLimit;
    }

    /** Counts a started attempt with this fill probability. */
    void fillStarted(double probability) {
        ownFills += probability;
    }

    /** Counts the end of an attempt with this fill probability. */
    void fillEnded(double probability) {
        ownFills -= probability;
    }

    /**
     * Adapts the limits to a response. A late hit lowers the limit of the cache; a late fill lowers the fill limit,
     * unless the origin is degraded, and the limit of an origin that filled it.
     */
    void adapt(long now, Attempt attempt, boolean hit, boolean late) {
        Endpoint target = attempt.target;
        if (hit) {
            target.concurrencyLimit = adapted(target.concurrencyLimit, MIN_LIMIT, target.inFlight(), late);
            return;
        }
        if (!late || !originHealth.isDegraded(now)) {
            fillLimit = adapted(fillLimit, linkTransfers, fillsInFlight(), late);
        }
        Endpoint source = attempt.source;
        if (endpoints.isReadyOrigin(source) && target.isCache()) {
            source.concurrencyLimit = adapted(source.concurrencyLimit, MIN_LIMIT, source.fillsInFlight, late);
        }
    }

    /**
     * Returns the adapted limit. A response counts once for each of the zone's routers, since each sees only a part of
     * the responses and the routers average their limits.
     */
    private double adapted(double limit, double minimum, double inUse, boolean late) {
        double increase = inUse + 1 > limit / 2 ? INCREASE : 0;
        return Math.max(minimum, limit + (late ? -DECREASE : increase) * (1 + peers.size()));
    }

    /** Averages the limits with those that a peer reported; each router of the zone has the same weight. */
    void reportedByPeer(double peerFillLimit, List<EndpointLoad> loads) {
        double weight = 1.0 / (1 + peers.size());
        fillLimit += weight * (peerFillLimit - fillLimit);
        for (EndpointLoad load : loads) {
            Endpoint endpoint = endpoints.get(load.endpointId());
            if (endpoint != null) {
                endpoint.concurrencyLimit += weight * (load.concurrencyLimit() - endpoint.concurrencyLimit);
            }
        }
    }
}
