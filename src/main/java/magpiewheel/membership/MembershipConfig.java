package magpiewheel.membership;

/**
 * The configuration of a membership.
 *
 * @param memberId this member's number
 * @param memberCount how many members the settings name
 * @param zone this member's zone; negative for none
 * @param address the IPv4 address that clients are given
 * @param membersByZone how many members the settings name in each zone
 * @param heartbeatUs from one heartbeat to the next
 * @param startedMs the Unix millisecond at which this process started: its first incarnation
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
    /** us; from one heartbeat to the next where lookups are answered. */
    public static final long FAST_HEARTBEAT_US = 50_000;
    /** us; from one heartbeat to the next where only the routing decisions use the membership. */
    public static final long SLOW_HEARTBEAT_US = 800_000;
}
