package magpiewheel.membership;

/**
 * How a limit is divided. All members that the settings name have a share, since a silent one may run on the other side
 * of a partition; only where its host proved that nobody listens there the share goes to the others, but for what a
 * member that returns uses at first. A proof is a lease: it ends before a member that returns has its full share again.
 */
final class QuotaDivision {
    /** us; a proof holds for so long, and is renewed often enough to survive some lost updates. */
    static final long PROOF_LEASE_US = 4_000_000;

    static final long PROOF_RENEWAL_US = 1_000_000;
    /** us; a member that starts uses a reduced share for so long: the lease, and clocks 0.4 s off both ways. */
    static final long REDUCED_AFTER_START_US = 5_000_000;
    /** The part of its share that a member uses that just started, and that is reserved for each one proven dead. */
    static final double REDUCED_SHARE = 0.25;

    private final MembershipConfig config;
    private final MemberTable members;
    private final long refutationUs;

    QuotaDivision(MembershipConfig config, MemberTable members, long refutationUs) {
        this.config = config;
        this.members = members;
        this.refutationUs = refutationUs;
    }

    /** A limit of all members or, with a zone, of that zone's is divided by this. */
    double divisor(long now, long uptimeUs, int zone) {
        return uptimeUs < REDUCED_AFTER_START_US ? shares(now, zone) / REDUCED_SHARE : shares(now, zone);
    }

    private double shares(long now, int zone) {
        double configured = zone < 0
                ? members.size()
                : zone < config.membersByZone().length ? config.membersByZone()[zone] : members.size();
        if (!config.reachabilityProbes()) {
            return Math.max(1, configured);
        }
        int unreachable = 0;
        for (Member member : members.all()) {
            unreachable += (zone < 0 || member.zone == zone) && isProvenUnreachable(now, member) ? 1 : 0;
        }
        return Math.max(1, configured - unreachable * (1 - REDUCED_SHARE));
    }

    /**
     * Whether its host proved a short while ago that nobody listens there, and nobody heard of it since; not within the
     * time in which it could refute that, as a filter may have answered for its host.
     */
    private boolean isProvenUnreachable(long now, Member member) {
        return !member.isInRing()
                && member.unreachableProvenMs > 0
                && now - member.unreachableProvenMs * 1_000 < PROOF_LEASE_US
                && now - member.leftRingAt >= refutationUs;
    }
}
