package magpiewheel.membership;

/**
 * Probes the dead members that this one would observe; refusals by their hosts can prove that no process listens there.
 */
final class DeadMemberProber {
    /** Interval to the next probe after an unanswered one; half of it after a first refusal. */
    private static final long RETRY_INTERVAL_US = 200_000;
    /** Consecutive refusals that prove that no process listens at a dead member's address. */
    private static final int REQUIRED_REFUSALS = 2;

    private static final long US_PER_MS = 1_000;

    private final MembershipConfig config;
    private final MemberTable members;
    private final ObserverRings rings;
    private final DatagramSender sender;
    private final UpdateDissemination dissemination;

    DeadMemberProber(MembershipContext context) {
        config = context.config;
        members = context.members;
        rings = context.rings;
        sender = context.sender;
        dissemination = context.dissemination;
    }

    /** Probes the dead members whose next probe is due. */
    void probe(long now) {
        if (!config.reachabilityProbes()) {
            return;
        }
        for (Member member : members.all()) {
            if (member != members.self()
                    && !member.isInRing()
                    && now - member.lastDeadProbeAt >= probeIntervalUs(member)
                    && observes(member)) {
                long retryAt = now - QuotaDivision.PROOF_RENEWAL_US + RETRY_INTERVAL_US;
                member.lastDeadProbeAt = Math.max(member.lastDeadProbeAt, retryAt);
                sender.probe(member.id, now);
            }
        }
    }

    private boolean observes(Member dead) {
        return rings.observersOf(dead.id, id -> members.get(id).isInRing(), id -> false)
                .contains(config.memberId());
    }

    private static long probeIntervalUs(Member member) {
        return member.refusedProbesInRow == 1 ? RETRY_INTERVAL_US / 2 : QuotaDivision.PROOF_RENEWAL_US;
    }

    /**
     * Handles a refusal by the host of a dead member. A proof dates from when the probe was sent, since a process may
     * have started after that.
     */
    void probeRefused(long now, Member member, long probedAt) {
        boolean inRow = now - member.lastDeadProbeAt < QuotaDivision.PROOF_LEASE_US;
        member.refusedProbesInRow = inRow ? member.refusedProbesInRow + 1 : 1;
        member.lastDeadProbeAt = now;
        if (member.refusedProbesInRow >= REQUIRED_REFUSALS) {
            member.unreachableProvenMs = probedAt / US_PER_MS;
            dissemination.announce(now, member);
        }
    }
}
