package magpiewheel.membership;

import java.util.List;

/**
 * Suspects silent members, and declares a suspect dead once enough observers accuse it and it did not refute that in
 * time. Two refused probes, by two observers, prove a death at once.
 */
final class FailureDetector {
    /** Heartbeats that a suspect has to refute, and more with the logarithm of the fleet: updates travel further. */
    private static final double REFUTATION_HEARTBEATS = 2;

    private static final double REFUTATION_HEARTBEATS_PER_DOUBLING = 2.0 / 3;
    /** Accusers that make a suspect dead; fewer where it has fewer observers. */
    private static final int REQUIRED_ACCUSERS = 2;
    /** Heartbeats after which a refuted accuser accuses again, doubling: it may be the one that is cut off. */
    private static final int ACCUSATION_BACKOFF_HEARTBEATS = 8;

    private static final int MAX_ACCUSATION_BACKOFF_HEARTBEATS = 128;

    private final MembershipConfig config;
    private final MemberTable members;
    private final ObserverRings rings;
    private final HeartbeatMonitor monitor;
    private final UpdateDissemination dissemination;
    private final ReachabilityProber prober;
    private final long refutationUs;

    FailureDetector(MembershipContext context, ReachabilityProber prober) {
        config = context.config;
        members = context.members;
        rings = context.rings;
        monitor = context.monitor;
        dissemination = context.dissemination;
        this.prober = prober;
        refutationUs = refutationUs(config);
    }

    /** How long a suspect has to refute, us. */
    static long refutationUs(MembershipConfig config) {
        double doublings = Math.log(Math.max(2, config.memberCount())) / Math.log(2);
        return (long) (config.heartbeatUs() * (REFUTATION_HEARTBEATS + REFUTATION_HEARTBEATS_PER_DOUBLING * doublings));
    }

    /** Accuses silent neighbours, and declares suspects dead whose time is over. */
    void check(long now, List<Member> neighbours) {
        for (Member member : neighbours) {
            if (member.isObserved()
                    && monitor.isSilent(now, member)
                    && member.status.compareTo(MemberStatus.SUSPECT) <= 0) {
                accuse(now, member);
            }
        }
        members.suspects().forEach(suspect -> evaluate(now, suspect));
    }

    private void evaluate(long now, Member suspect) {
        if (suspect.declaredUnreachableMs > 0 && !suspect.isFresh(now, prober.probeAfterUs(suspect))) {
            declareProvenDead(now, suspect, suspect.declaredUnreachableMs);
        } else if (suspect.unreachableProvenMs > 0 && requiredAccusers(suspect) < REQUIRED_ACCUSERS) {
            declareProvenDead(now, suspect, suspect.unreachableProvenMs);
        } else if (now - suspect.suspectedAt >= refutationUs
                && !monitor.isHeard(now, suspect)
                && (suspect.declaredDead || suspect.accuserCount() >= requiredAccusers(suspect))) {
            declareDead(now, suspect);
            suspect.refusedProbesInRow = 0;
        }
    }

    private void declareDead(long now, Member member) {
        members.set(member, MemberStatus.DEAD);
        member.stopObserving();
        recordRingLeave(now, member);
        dissemination.announce(now, member);
    }

    /** A member is dead or left. */
    void recordRingLeave(long now, Member member) {
        member.leftRingAt = now;
        members.recordLoss(now);
    }

    /**
     * The host of a member refused probes of two observers, or of the only one: the member need not be heard.
     *
     * @param provenMs the Unix millisecond of the older refusal
     */
    void declareProvenDead(long now, Member member, long provenMs) {
        declareDead(now, member);
        member.unreachableProvenMs = provenMs;
        member.refusedProbesInRow = 0;
    }

    /** The host of a member refused this member's probes: an accusation, and a proof if another was refused, too. */
    void probesRefused(long now, Member member, long provenMs) {
        boolean refusedToAnother = member.status == MemberStatus.SUSPECT
                && member.unreachableProvenMs > 0
                && member.firstAccuser != config.memberId();
        if (refusedToAnother) {
            declareProvenDead(now, member, Math.min(provenMs, member.unreachableProvenMs));
        } else if (now >= member.nextAccusationAt
                && (member.status != MemberStatus.SUSPECT || member.unreachableProvenMs == 0)) {
            backOff(member);
            suspect(now, member);
            member.addRefusedAccuser(config.memberId(), provenMs);
            dissemination.announce(now, member);
        }
    }

    /** A heartbeat came in time: this observer may accuse again soon, however often it was refuted before. */
    void heartbeatReceived(long now, Member member) {
        member.accusationBackoffUs = 0;
        member.nextAccusationAt =
                Math.min(member.nextAccusationAt, now + ACCUSATION_BACKOFF_HEARTBEATS * config.heartbeatUs());
    }

    private void accuse(long now, Member member) {
        if (now < member.nextAccusationAt || member.isAccusedBy(config.memberId())) {
            return;
        }
        backOff(member);
        suspect(now, member);
        if (member.addAccuser(config.memberId())) {
            members.markChanged();
            dissemination.announce(now, member);
        }
    }

    private void backOff(Member member) {
        long minUs = ACCUSATION_BACKOFF_HEARTBEATS * config.heartbeatUs();
        long maxUs = MAX_ACCUSATION_BACKOFF_HEARTBEATS * config.heartbeatUs();
        member.accusationBackoffUs = Math.min(maxUs, Math.max(minUs, 2 * member.accusationBackoffUs));
    }

    private void suspect(long now, Member member) {
        if (member.status != MemberStatus.SUSPECT) {
            member.clearSuspicion();
            members.set(member, MemberStatus.SUSPECT);
            member.suspectedAt = now;
        }
    }

    /** As many accusers as a member has observers that run, two at most. */
    private int requiredAccusers(Member member) {
        int observers = 0;
        for (int id : rings.observersOf(member.id, other -> isRunning(members.get(other)), other -> false)) {
            observers += id == member.id ? 0 : 1;
        }
        return Math.max(1, Math.min(REQUIRED_ACCUSERS, observers));
    }

    private static boolean isRunning(Member member) {
        return member.status == MemberStatus.ALIVE || member.status == MemberStatus.JOINING;
    }
}
