package magpiewheel.membership;

/** Merges updates from other members into the table: the higher incarnation counts, then the later status. */
final class UpdateMerger {
    private static final long US_PER_MS = 1_000;

    private final MembershipConfig config;
    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final FailureDetector detector;
    private final ReachabilityProber prober;
    private final LocalMember local;

    UpdateMerger(MembershipContext context, FailureDetector detector, ReachabilityProber prober, LocalMember local) {
        config = context.config;
        members = context.members;
        dissemination = context.dissemination;
        this.detector = detector;
        this.prober = prober;
        this.local = local;
    }

    /** Merges one update; one of a member that the settings do not name is ignored. */
    void merge(long now, MemberUpdate update) {
        if (!members.contains(update.memberId())) {
            return;
        }
        Member member = members.get(update.memberId());
        if (member == members.self()) {
            local.merge(now, update);
            return;
        }
        boolean sameIncarnation = update.incarnation() == member.incarnation;
        if (update.incarnation() < member.incarnation
                || sameIncarnation && update.status().compareTo(member.status) < 0) {
            return;
        }
        if (sameIncarnation && update.status() == member.status) {
            mergeDetails(now, member, update);
        } else if (sameIncarnation && isUnconfirmedDeath(now, member, update)) {
            suspectDeclaredDead(now, member, update);
        } else {
            replace(now, member, update, update.status());
        }
    }

    /** The Unix millisecond of the proof that comes with an update of a death; 0 where there is none. */
    private long deathProofMs(MemberUpdate update) {
        return config.reachabilityProbes() && update.status() == MemberStatus.DEAD ? update.unreachableProvenMs() : 0;
    }

    /** Whether nothing was seen here of a death: it may be declared on the other side of a partition. */
    private boolean isUnconfirmedDeath(long now, Member member, MemberUpdate update) {
        return update.status() == MemberStatus.DEAD
                && member.status.compareTo(MemberStatus.SUSPECT) <= 0
                && (deathProofMs(update) == 0 || member.isFresh(now, prober.probeAfterUs(member)));
    }

    /** The member becomes a suspect that may refute its death. */
    private void suspectDeclaredDead(long now, Member member, MemberUpdate update) {
        long proof = deathProofMs(update);
        if (member.status == MemberStatus.SUSPECT) {
            member.declaredDead = true;
            member.declaredUnreachableMs = Math.max(member.declaredUnreachableMs, proof);
        } else {
            replace(now, member, update, MemberStatus.SUSPECT);
        }
    }

    /** The update replaces what is known, with this status in place of its own. */
    private void replace(long now, Member member, MemberUpdate update, MemberStatus status) {
        boolean asSent = status == update.status();
        boolean sameIncarnation = update.incarnation() == member.incarnation;
        member.clearSuspicion();
        member.declaredDead = !asSent;
        member.declaredUnreachableMs = asSent ? 0 : deathProofMs(update);
        if (!sameIncarnation) {
            member.incarnationKnownAt = now;
        }
        members.set(member, status, update.incarnation(), update.zone(), update.address());
        if (!member.isInRing()) {
            detector.recordRingLeave(now, member);
        }
        if (status == MemberStatus.SUSPECT) {
            member.suspectedAt = now - update.suspectedForUs();
            member.addAccuser(update.firstAccuser());
            member.addAccuser(update.secondAccuser());
        }
        member.unreachableProvenMs = asSent ? update.unreachableProvenMs() : 0;
        if (status == MemberStatus.JOINING || status == MemberStatus.ALIVE) {
            member.nextAccusationAt = Math.max(member.nextAccusationAt, now + member.accusationBackoffUs);
        }
        dissemination.announce(now, member);
    }

    /** Status and incarnation are known already; only accusers and proofs may be new. */
    private void mergeDetails(long now, Member member, MemberUpdate update) {
        boolean changed = false;
        if (member.status == MemberStatus.SUSPECT) {
            if (isSecondProof(member, update)) {
                long olderMs = Math.min(update.unreachableProvenMs(), member.unreachableProvenMs);
                detector.declareProvenDead(now, member, olderMs);
                return;
            }
            changed = mergeSuspicion(now, member, update);
        }
        if (update.unreachableProvenMs() > member.unreachableProvenMs && !member.isInRing()) {
            // Proofs are renewed: a small difference is passed on with a small delay.
            long differenceMs = update.unreachableProvenMs() - member.unreachableProvenMs;
            changed |= differenceMs > QuotaDivision.PROOF_RENEWAL_US / (2 * US_PER_MS);
            member.unreachableProvenMs = update.unreachableProvenMs();
        }
        if (changed) {
            dissemination.announce(now, member);
        } else if (member.sendsRemaining > 0) {
            // Others disseminate it, too.
            member.sendsRemaining--;
        }
    }

    /** Whether two of a suspect's observers were refused. */
    private static boolean isSecondProof(Member suspect, MemberUpdate update) {
        return update.unreachableProvenMs() > 0
                && suspect.unreachableProvenMs > 0
                && update.firstAccuser() != suspect.firstAccuser;
    }

    private static boolean mergeSuspicion(long now, Member suspect, MemberUpdate update) {
        boolean changed = false;
        if (update.unreachableProvenMs() > 0 && suspect.unreachableProvenMs == 0) {
            suspect.addRefusedAccuser(update.firstAccuser(), update.unreachableProvenMs());
            changed = true;
        }
        changed |= suspect.addAccuser(update.firstAccuser()) | suspect.addAccuser(update.secondAccuser());
        suspect.suspectedAt = Math.min(suspect.suspectedAt, now - update.suspectedForUs());
        return changed;
    }
}
