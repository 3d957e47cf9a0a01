package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/** Which routers the lease's holder let use a leader, and until when. */
final class LeaseGrants {
    private record Grant(long leader, long until) {}

    private final Map<Integer, Grant> grants = new HashMap<>();

    /** A router may use a leader until then. */
    void grant(int router, long leader, long until) {
        grants.put(router, new Grant(leader, until));
    }

    /** Whether a router was let use a leader, and did not give that up. */
    boolean contains(int router) {
        return grants.containsKey(router);
    }

    /** A router voted for a leader, so it uses no other. */
    void votedFor(int router, long leader) {
        grants.computeIfPresent(router, (id, grant) -> grant.leader() == leader ? grant : null);
    }

    /** Until when some router may still use another leader than this; 0 for none. */
    long othersUsedUntil(long now, long leader) {
        long until = 0;
        for (Grant grant : grants.values()) {
            if (grant.leader() != leader && now < grant.until()) {
                until = Math.max(until, grant.until());
            }
        }
        return until;
    }
}
