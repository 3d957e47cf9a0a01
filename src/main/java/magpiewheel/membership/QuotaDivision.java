package magpiewheel.membership;

/**
 * Divides limits among the members. Every configured member has a share, since a silent one may run on the other side
 * of a partition. Only if its host proved that no process listens there do the others get its share, except for the
 * part that a returning member uses at first. A proof is a lease: it expires before a returning member has its full
 * share again.
 */
final class QuotaDivision {
    /** Time for which a proof is valid. It is renewed often enough to survive some lost updates. */
    static final long PROOF_LEASE_US = 4_000_000;

    static final long PROOF_RENEWAL_US = 1_000_000;
    /**
     * Time after its start for which a member uses a reduced share: the lease of a proof, and clock errors of 0.4 s in
     * both directions.
     */
    static final long REDUCED_AFTER_START_US = 5_000_000;
    /** Fraction of its share that a newly started member uses, and that is reserved for each member proven dead. */
    static final double REDUCED_SHARE = 0.25;

    private final MembershipConfig config;
    private final MemberTable members;
    private final long refutationUs;

    QuotaDivision(MembershipConfig config, MemberTable members, long refutationUs) {
        this.config = config;
        this.members = members;
        this.refutationUs = refutationUs;
    }

    /** Returns the divisor of a limit that a zone shares or, for a negative zone, that all members share. */
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
     * Whether the host of a member recently proved that no process listens there, and the member has not been heard of
     * since. Not within its refutation time, as a filter may have answered for its host.
     */
    private boolean isProvenUnreachable(long now, Member member) {
        return !member.isInRing()
                && member.unreachableProvenMs > 0
                && now - member.unreachableProvenMs * 1_000 < PROOF_LEASE_US
                && now - member.leftRingAt >= refutationUs;
    }
}
