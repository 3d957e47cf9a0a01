package magpiewheel.region;

/** Why a fill goes to the region's leader or not. The order and the names of the statistics are external. */
public enum RouteReason {
    /** To the leader. */
    LED("led"),
    /** To the second in rank, which takes what the leader can't carry. */
    SPILLED("spilled"),
    /** The zone is in no region, or in another one than this router. */
    NO_REGION("no_region"),
    /** No router both hears this one and is heard by it. */
    ISOLATED("cut_off"),
    /** No agreement, or the lease expired. */
    NO_LEASE("no_lease"),
    /** Discovery says that the leader drains or is removed. */
    LEADER_REMOVED("gone"),
    /** A response of the leader is overdue here. */
    LEADER_SUSPECTED("doubted"),
    /** The object has not migrated to the new leader yet. */
    NOT_MIGRATED("not_moved"),
    /** The leader warms up, and this router's share of its budget is used up. */
    NO_BUDGET("cold");

    private final String statistic;

    RouteReason(String statistic) {
        this.statistic = statistic;
    }

    /** The name of the statistic that counts it. */
    public String statistic() {
        return statistic;
    }
}
