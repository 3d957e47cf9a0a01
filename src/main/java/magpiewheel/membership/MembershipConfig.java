package magpiewheel.membership;

/**
 * Configuration of the membership.
 *
 * @param memberId number of the local member
 * @param memberCount number of configured members
 * @param zone zone of the local member; negative for none
 * @param address IPv4 address of the local member that clients are given
 * @param membersByZone number of configured members in each zone
 * @param heartbeatUs heartbeat interval, in microseconds
 * @param startedMs Unix time at which this process started, in milliseconds: its first incarnation
 * @param reachabilityProbes whether silent members are probed, and the transport reports refusals
 */
public record MembershipConfig(
        int memberId,
        int memberCount,
        int zone,
        int address,
        int[] membersByZone,
        long heartbeatUs,
        long startedMs,
        boolean reachabilityProbes) {
    /** Heartbeat interval if DNS lookups are answered. */
    public static final long FAST_HEARTBEAT_US = 50_000;
    /** Heartbeat interval if only routing decisions use the membership. */
    public static final long SLOW_HEARTBEAT_US = 800_000;
}
