package magpiewheel.membership;

import java.util.List;

/**
 * Suspects silent members, and declares a suspect dead once enough observers accuse it and it has not refuted that in
 * time. Refused probes of two observers prove a death at once.
 */
final class FailureDetector {
    /**
     * Heartbeats that a suspect has to refute; the time grows with the logarithm of the member count, as updates then
     * need more steps.
     */
    private static final double REFUTATION_HEARTBEATS = 2;

    private static final double REFUTATION_HEARTBEATS_PER_DOUBLING = 2.0 / 3;
    /** Accusers required to declare a suspect dead; fewer if it has fewer running observers. */
    private static final int REQUIRED_ACCUSERS = 2;
    /**
     * Heartbeats before a refuted observer accuses the same member again, doubling with each accusation: the observer
     * may itself be cut off.
     */
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

    /** Returns the time that a suspect has to refute, in microseconds. */
    static long refutationUs(MembershipConfig config) {
        double doublings = Math.log(Math.max(2, config.memberCount())) / Math.log(2);
        return (long) (config.heartbeatUs() * (REFUTATION_HEARTBEATS + REFUTATION_HEARTBEATS_PER_DOUBLING * doublings));
    }

    /** Accuses silent neighbours, and declares suspects dead whose refutation time has passed. */
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

    /** Records that a member is dead or has left. */
    void recordRingLeave(long now, Member member) {
        member.leftRingAt = now;
        members.recordLoss(now);
    }

    /**
     * Declares a member dead, without waiting for a refutation, because its host refused the probes of two observers or
     * of its only one.
     *
     * @param provenMs Unix time of the older refusal, in milliseconds
     */
    void declareProvenDead(long now, Member member, long provenMs) {
        declareDead(now, member);
        member.unreachableProvenMs = provenMs;
        member.refusedProbesInRow = 0;
    }

    /**
     * Handles the refusal of this member's probes by another member's host: an accusation, or a proof of death if
     * another observer's probes were refused too.
     */
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

    /**
     * Resets the accusation backoff after a timely heartbeat: this observer may soon accuse the member again, however
     * often it was refuted before.
     */
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

    /** Returns the number of running observers of a member, at least 1 and at most {@link #REQUIRED_ACCUSERS}. */
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
