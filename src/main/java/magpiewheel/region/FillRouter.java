package magpiewheel.region;

import magpiewheel.membership.PartitionVerdict;

/** Decides whether a fill goes to the region's leader, and whether it may start now. */
final class FillRouter {
    /** Smallest ratio of fills assumed to miss at the leader and so reach the origin. */
    private static final double MIN_MISS_RATIO = 0.1;

    private static final double SECOND_US = 1e6;

    private final RegionState state;
    private final Handover handover;
    private final FillAdmission admission = new FillAdmission();
    private final long[] counts = new long[RouteReason.values().length];

    FillRouter(RegionState state, Handover handover) {
        this.state = state;
        this.handover = handover;
    }

    /** Returns the parent to fill an object from, or null if the router selects the source itself. */
    Leader leaderFor(long now, int zone, long object, double work) {
        Lease lease = state.lease(now);
        boolean spilled = lease != null && LoadSpill.isSpilled(lease.placement(), object);
        Parent parent = lease == null
                ? null
                : state.parents.get(spilled ? lease.placement().spillParent() : lease.leader());
        RouteReason reason = regionStatus(now, zone, lease, parent);
        if (reason == RouteReason.LED) {
            reason = routeReason(now, object, work, lease, parent, spilled);
        }
        counts[reason.ordinal()]++;
        return reason == RouteReason.LED || reason == RouteReason.SPILLED
                ? new Leader(parent.id(), lease.term(), spilled)
                : null;
    }

    private RouteReason routeReason(long now, long object, double work, Lease lease, Parent parent, boolean spilled) {
        if (!Handover.hasMigrated(now - lease.leadingSinceUs(), lease.leader(), object)) {
            return RouteReason.NOT_MIGRATED;
        }
        if (!handover.hasBudget(now, parent, state.membership.quotaDivisor(now), work)) {
            return RouteReason.NO_BUDGET;
        }
        return spilled ? RouteReason.SPILLED : RouteReason.LED;
    }

    /**
     * Returns the status of the region regardless of the object: {@link RouteReason#LED}, or the reason why no leader
     * can be used.
     */
    RouteReason regionStatus(long now) {
        Lease lease = state.lease(now);
        return regionStatus(now, state.config.zone(), lease, lease == null ? null : state.parents.get(lease.leader()));
    }

    private RouteReason regionStatus(long now, int zone, Lease lease, Parent parent) {
        if (state.region == null || !state.region.zones().contains(zone)) {
            return RouteReason.NO_REGION;
        }
        if (state.membership.verdict() == PartitionVerdict.ISOLATED) {
            return RouteReason.ISOLATED;
        }
        if (lease == null) {
            return RouteReason.NO_LEASE;
        }
        if (parent == null || parent.draining()) {
            return RouteReason.LEADER_REMOVED;
        }
        if (state.observationsOf(parent.id()).overdueResponses(now) > 0) {
            return RouteReason.LEADER_SUSPECTED;
        }
        return RouteReason.LED;
    }

    /** Whether a parent, which may be warming up, has budget for more work from this router. */
    boolean hasBudget(long now, long parentId, double work) {
        Parent parent = state.parents.get(parentId);
        return parent != null && handover.hasBudget(now, parent, state.membership.quotaDivisor(now), work);
    }

    /**
     * Whether a miss may be filled now, at the rate that the hub's parents and the origin can carry. The origin sees
     * the fills that recently missed at the leader. A warming leader alone does not limit the rate: while another
     * parent is warm, the fills beyond the leader's budget are routed as without a region.
     */
    boolean admitsFill(long now, long object, double work) {
        ParentObservations leader = state.observationsOfLeader(state.lease(now));
        double missRatio = Math.max(MIN_MISS_RATIO, leader == null ? 1 : leader.missRatio(now));
        double workPerS = state.config.originWorkPerS() / missRatio;
        double budget = warmUpBudget(now);
        if (budget > 0) {
            long windowUs = state.config.slowStart().overloadWindowUs();
            workPerS = Math.min(workPerS, budget * SECOND_US / windowUs);
        }
        return admission.admits(now, object, work, workPerS / Math.max(1, state.membership.quotaDivisor(now)));
    }

    private double warmUpBudget(long now) {
        return state.parents.values().stream()
                .filter(parent -> state.region != null && parent.hub() == state.region.hub() && !parent.draining())
                .mapToDouble(parent -> handover.budget(now, parent))
                .sum();
    }

    /** Records the end of a fill; {@code filled} tells whether the object was received. */
    void fillEnded(long object, boolean filled) {
        admission.fillEnded(object, filled);
    }

    /** Returns the number of fills rejected so far. */
    long rejectedFills() {
        return admission.rejected();
    }

    /** Returns how often this reason decided where a fill goes. */
    long count(RouteReason reason) {
        return counts[reason.ordinal()];
    }
}
