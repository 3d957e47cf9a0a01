package magpiewheel.region;

import java.util.ArrayList;
import java.util.List;

/** Decides this router's proposals in an election and adds its measurements to its votes. */
final class RegionProposals implements Election.Delegate {
    private final RegionState state;
    private final RegionDirectory directory;
    private int nextReport;

    RegionProposals(RegionState state, RegionDirectory directory) {
        this.state = state;
        this.directory = directory;
    }

    @Override
    public long chooseLeader(long now, long current) {
        recordOwnReports(now);
        return state.ranking.choose(now, current, eligibleParents(now, current));
    }

    private void recordOwnReports(long now) {
        int routerId = state.config.routerId();
        state.observations.forEach(
                (parent, observed) -> state.ranking.addReport(now, routerId, observed.report(now, parent)));
        ParentObservations leader = state.observationsOfLeader(state.lease(now));
        if (leader != null) {
            state.spill.addReport(now, routerId, leader.sentPerS(now), leader.hotObject(), leader.hotSentPerS());
        }
    }

    /** Returns the parents that may lead the region. */
    private List<Long> eligibleParents(long now, long current) {
        List<Long> eligible = new ArrayList<>();
        for (Parent parent : state.parents.values()) {
            if (parent.hub() == state.region.hub()
                    && !parent.draining()
                    && carriesRegion(now, parent, parent.id() == current)
                    && !state.hangDetector.isEjected(now, parent.id())) {
                eligible.add(parent.id());
            }
        }
        return eligible;
    }

    /**
     * Whether the link of a parent can carry the region. If one parent leads two regions, the region with the lower key
     * keeps it.
     */
    private boolean carriesRegion(long now, Parent parent, boolean isLeader) {
        double limit = RegionAssignment.MAX_UTILIZATION * parent.linkCapacity();
        double otherRegionsLoad = directory.claimedLoad(now, parent.id(), state.region.key(), isLeader);
        double load = state.region.load();
        return load <= limit && (otherRegionsLoad == 0 || otherRegionsLoad + load <= limit);
    }

    @Override
    public RegionMessage.Placement placement(long now, long leader) {
        Parent leadingParent = state.parents.get(leader);
        if (leadingParent == null) {
            return RegionMessage.Placement.NONE;
        }
        long spillParentId = spillParent(now, leader);
        Parent spillParent = state.parents.get(spillParentId);
        double spareCapacity = spillParent == null
                ? 0
                : (state.ranking.freeLinkShare(now, spillParentId) - (1 - LoadSpill.TARGET_UTILIZATION))
                        * spillParent.linkCapacity();
        return state.spill.decide(now, leadingParent, spillParent, spareCapacity);
    }

    /**
     * Returns the parent that takes the load that the leader cannot carry: the present one while it is eligible,
     * otherwise the best in rank; 0 if there is none.
     */
    private long spillParent(long now, long leader) {
        List<Long> others = new ArrayList<>(eligibleParents(now, leader));
        others.remove(leader);
        Lease lease = state.lease(now);
        if (lease != null && others.contains(lease.placement().spillParent())) {
            return lease.placement().spillParent();
        }
        return others.isEmpty() ? 0 : state.ranking.ranked(now, others).get(0);
    }

    @Override
    public RegionMessage.Vote createVote(
            RegionMessage.Header header, boolean granted, long now, long requestSentAt, long votedTerm) {
        ParentObservations leader = state.observationsOfLeader(state.lease(now));
        return new RegionMessage.Vote(
                header,
                granted,
                state.config.zone(),
                now,
                requestSentAt,
                votedTerm,
                leader == null ? 0 : leader.sentPerS(now),
                leader == null ? 0 : leader.hotObject(),
                leader == null ? 0 : leader.hotSentPerS(),
                parentReports(now));
    }

    /**
     * Returns as many reports of the region's parents as fit into a vote; successive votes cover all parents in turn.
     */
    private List<RegionMessage.ParentReport> parentReports(long now) {
        List<Long> measuredParents = state.parents.values().stream()
                .filter(parent -> parent.hub() == state.region.hub() && state.observations.containsKey(parent.id()))
                .map(Parent::id)
                .toList();
        List<RegionMessage.ParentReport> reports = new ArrayList<>();
        for (int i = 0; i < Math.min(measuredParents.size(), RegionMessageCodec.MAX_REPORTS); i++) {
            long parent = measuredParents.get(nextReport++ % measuredParents.size());
            reports.add(state.observations.get(parent).report(now, parent));
        }
        return reports;
    }
}
