package magpiewheel.region;

/**
 * Why a fill does or does not go to the region's leader. The order of the constants and the names of the statistics are
 * external interfaces.
 */
public enum RouteReason {
    /** The fill goes to the leader. */
    LED("led"),
    /** The fill goes to the spill parent, which takes load that the leader cannot carry. */
    SPILLED("spilled"),
    /** The zone is in no region, or in another one than this router. */
    NO_REGION("no_region"),
    /** No router both hears this one and is heard by it. */
    ISOLATED("cut_off"),
    /** No leader is elected, or the lease expired. */
    NO_LEASE("no_lease"),
    /** The leader is draining or removed according to discovery. */
    LEADER_REMOVED("gone"),
    /** A response of the leader is overdue here. */
    LEADER_SUSPECTED("doubted"),
    /** The object has not migrated to the new leader yet. */
    NOT_MIGRATED("not_moved"),
    /** The leader is warming up, and this router has used its share of the leader's budget. */
    NO_BUDGET("cold");

    private final String statistic;

    RouteReason(String statistic) {
        this.statistic = statistic;
    }

    /** Returns the name of the statistic that counts this reason. */
    public String statistic() {
        return statistic;
    }
}
