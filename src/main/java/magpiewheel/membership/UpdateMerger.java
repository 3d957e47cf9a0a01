package magpiewheel.membership;

/** Merges updates from other members into the table: the higher incarnation wins, then the later status. */
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

    /** Merges one update; an update about a member that is not configured is ignored. */
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

    /** Returns the Unix time of the proof in an update about a death, in milliseconds; 0 for none. */
    private long deathProofMs(MemberUpdate update) {
        return config.reachabilityProbes() && update.status() == MemberStatus.DEAD ? update.unreachableProvenMs() : 0;
    }

    /**
     * Whether a reported death is not confirmed here: it has no proof, or the member was heard recently. It may have
     * been declared on the other side of a partition.
     */
    private boolean isUnconfirmedDeath(long now, Member member, MemberUpdate update) {
        return update.status() == MemberStatus.DEAD
                && member.status.compareTo(MemberStatus.SUSPECT) <= 0
                && (deathProofMs(update) == 0 || member.isFresh(now, prober.probeAfterUs(member)));
    }

    /** Makes the member a suspect that can still refute its declared death. */
    private void suspectDeclaredDead(long now, Member member, MemberUpdate update) {
        long proof = deathProofMs(update);
        if (member.status == MemberStatus.SUSPECT) {
            member.declaredDead = true;
            member.declaredUnreachableMs = Math.max(member.declaredUnreachableMs, proof);
        } else {
            replace(now, member, update, MemberStatus.SUSPECT);
        }
    }

    /** Replaces the known state by that of the update, with the given status in place of its own. */
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

    /** Merges the accusers and proofs of an update whose status and incarnation are already known. */
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
            // Proofs are renewed regularly: one that is only slightly newer is not announced at once.
            long differenceMs = update.unreachableProvenMs() - member.unreachableProvenMs;
            changed |= differenceMs > QuotaDivision.PROOF_RENEWAL_US / (2 * US_PER_MS);
            member.unreachableProvenMs = update.unreachableProvenMs();
        }
        if (changed) {
            dissemination.announce(now, member);
        } else if (member.sendsRemaining > 0) {
            // Other members already disseminate this update.
            member.sendsRemaining--;
        }
    }

    /** Whether probes of two different observers of a suspect were refused. */
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
