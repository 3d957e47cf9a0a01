package magpiewheel.routing;

import java.util.List;

/**
 * Adaptive concurrency limits (additive increase, decrease on lateness): of attempts at each endpoint, and of the fills
 * over the zone's link. Peers report theirs, and the limits of a zone converge to their average.
 */
final class ConcurrencyLimiter {
    /** Limit of an endpoint at first, in attempts. */
    static final double INITIAL_LIMIT = 16;
    /** The lowest limit of an endpoint: a small machine's cores. */
    static final double MIN_LIMIT = 4;
    /** Fills at first over what the link carries at a client's pace: the objective leaves time for some more. */
    private static final double INITIAL_FILLS_PER_LINK_TRANSFER = 2;
    /** Added to a limit in use by a response in time, taken off by a late one: one in eleven may be late. */
    private static final double INCREASE = 0.08;

    private static final double DECREASE = 0.8;

    private final EndpointTable endpoints;
    private final PeerReports peers;
    private final OriginHealth originHealth;
    /** Fills that the zone's link carries at a client's pace: so many are never too many for it. */
    private final double linkTransfers;
    /** Fills that the zone's link and its sources carry in time. */
    private double fillLimit;
    /** Fills of this router that are thought to be in flight. */
    private double ownFills;

    ConcurrencyLimiter(RouterTopology topology, EndpointTable endpoints, PeerReports peers, OriginHealth originHealth) {
        this.endpoints = endpoints;
        this.peers = peers;
        this.originHealth = originHealth;
        linkTransfers = Math.max(MIN_LIMIT, topology.transferCapacityOfOwnLink());
        fillLimit = INITIAL_FILLS_PER_LINK_TRANSFER * linkTransfers;
    }

    /** Whether one more attempt, a fill with such a probability, stays within this multiple of the fill limit. */
    boolean admitsFill(double probability, double limitFactor) {
        return fillsInFlight() + probability <= fillLimit * limitFactor;
    }

    /** Fills thought to be in flight into the zone: this router's and those that peers reported. */
    private double fillsInFlight() {
        return ownFills + peers.fillsInFlight();
    }

    /** Fills of this router that are thought to be in flight. */
    double ownFills() {
        return ownFills;
    }

    /** The limit of fills into the zone. */
    double fillLimit() {
        return fillLimit;
    }

    /** An attempt started that is a fill with such a probability. */
    void fillStarted(double probability) {
        ownFills += probability;
    }

    /** Such an attempt ended. */
    void fillEnded(double probability) {
        ownFills -= probability;
    }

    /** Adapts the limits to a response: a late hit is the cache's doing, a late fill the link's or the origin's. */
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

    /** Each response counts for the whole zone: its routers see a part each and average their limits. */
    private double adapted(double limit, double minimum, double inUse, boolean late) {
        double increase = inUse + 1 > limit / 2 ? INCREASE : 0;
        return Math.max(minimum, limit + (late ? -DECREASE : increase) * (1 + peers.size()));
    }

    /** A peer reported its limits: each router's word has the weight of one. */
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
