package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/** Records which routers the lease holder allowed to use a leader, and until when. */
final class LeaseGrants {
    private record Grant(long leader, long until) {}

    private final Map<Integer, Grant> grants = new HashMap<>();

    /** Allows a router to use a leader until the given time. */
    void grant(int router, long leader, long until) {
        grants.put(router, new Grant(leader, until));
    }

    /** Whether a router was allowed to use a leader and has not voted for another one since. */
    boolean contains(int router) {
        return grants.containsKey(router);
    }

    /** Records a vote: a router that votes for a leader uses no other. */
    void votedFor(int router, long leader) {
        grants.computeIfPresent(router, (id, grant) -> grant.leader() == leader ? grant : null);
    }

    /** Returns until when any router may still use a leader other than this one; 0 if none may. */
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
