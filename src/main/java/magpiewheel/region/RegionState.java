package magpiewheel.region;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.membership.MembershipView;

/** The state that the parts of the region coordination share: the parents, their measurements and the election. */
final class RegionState {
    final RegionConfig config;
    final MembershipView membership;
    final Map<Long, Parent> parents = new LinkedHashMap<>();
    final Map<Long, ParentObservations> observations = new HashMap<>();
    /** The region of the router's zone; null while the zone is in no region. */
    Region region;
    /** The election of the region's leader; null while there is no region. */
    Election election;
    /** The ranking of the region's parents; null before the first region. */
    ParentRanking ranking;

    HangDetector hangDetector = new HangDetector();
    LoadSpill spill = new LoadSpill();

    RegionState(RegionConfig config, MembershipView membership) {
        this.config = config;
        this.membership = membership;
    }

    /** Returns the lease that this router may rely on now, or null. */
    Lease lease(long now) {
        return election == null ? null : election.lease(now);
    }

    /** Returns the measurements of a parent, creating them if there are none. */
    ParentObservations observationsOf(long parent) {
        return observations.computeIfAbsent(parent, id -> new ParentObservations());
    }

    /** Returns the measurements of the leader; null if there is no leader or nothing was measured. */
    ParentObservations observationsOfLeader(Lease lease) {
        return lease == null ? null : observations.get(lease.leader());
    }

    /** Returns the ids of the other running routers of the region, in ascending order. */
    List<Integer> otherRouters() {
        return region.zones().stream()
                .flatMap(zone -> membership.runningMembersIn(zone).stream())
                .filter(router -> router != config.routerId())
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the header of a message about a term. */
    RegionMessage.Header header(long term) {
        return new RegionMessage.Header(region == null ? 0 : region.key(), term, config.startedMs());
    }
}
