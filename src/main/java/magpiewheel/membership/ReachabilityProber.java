package magpiewheel.membership;

import java.util.List;

/**
 * Probes silent neighbours long before silence alone means a failure: the host of an ended process refuses at once,
 * that of a paused process does not.
 */
final class ReachabilityProber {
    /** Consecutive refusals after which a member considers the process of another one ended. */
    static final int REQUIRED_REFUSALS = 2;
    /**
     * Heartbeats of silence before the first probe: one lost message means nothing, and with short heartbeats neither
     * does a late one.
     */
    private static final int PROBE_AFTER_HEARTBEATS = 2;
    /** Maximum number of unanswered probes in one silence: a host that does not answer proves nothing. */
    private static final int MAX_UNANSWERED_PROBES = 4;
    /** Minimum interval to the next probe after an unanswered one; longer than the transport waits for an answer. */
    private static final long MIN_RETRY_US = 50_000;

    private static final long MAX_RETRY_US = 200_000;
    private final MembershipConfig config;
    private final DatagramSender sender;
    private final long retryUs;

    ReachabilityProber(MembershipConfig config, DatagramSender sender) {
        this.config = config;
        this.sender = sender;
        retryUs = Math.max(MIN_RETRY_US, Math.min(MAX_RETRY_US, config.heartbeatUs()));
    }

    /** Returns the silence after which a member is probed, in microseconds. */
    long probeAfterUs(Member member) {
        long heartbeatUs = Math.max(config.heartbeatUs(), member.heartbeatUs);
        return Math.max(PROBE_AFTER_HEARTBEATS * heartbeatUs, heartbeatUs + 2 * HeartbeatMonitor.MAX_DELAY_US);
    }

    /** Probes the neighbours whose next probe is due; silence from before this process resumed does not count. */
    void probeSilent(long now, List<Member> neighbours, long resumedAt) {
        for (Member member : neighbours) {
            if (isProbeDue(now, member, resumedAt)) {
                member.unansweredProbes++;
                member.probedAt = now;
                member.possiblyUnobserved = false;
                sender.probe(member.id, now);
            }
        }
    }

    private boolean isProbeDue(long now, Member member, long resumedAt) {
        if (!member.isObserved()
                || !member.isInRing()
                || member.incarnation == 0
                || member.probesRefused >= REQUIRED_REFUSALS
                || now < member.nextAccusationAt
                || member.unansweredProbes >= MAX_UNANSWERED_PROBES
                || now - member.probedAt < retryAfterUs(member)) {
            return false;
        }
        long since = Math.max(resumedAt, Math.max(member.observedSince, member.lastAliveAt));
        // If others failed with it or were refused, its silence from before it was observed here counts as well.
        boolean isDoubtful = member.possiblyUnobserved
                || member.probesRefused > 0
                || member.status == MemberStatus.SUSPECT && member.unreachableProvenMs > 0;
        return now - since > probeAfterUs(member) || isDoubtful && !member.isFresh(now, probeAfterUs(member));
    }

    /**
     * Returns the interval to the next probe, in microseconds; 0 after a refusal, which a second probe confirms at
     * once.
     */
    private long retryAfterUs(Member member) {
        return member.probesRefused > 0 && member.probeRefusedAt >= member.probedAt ? 0 : retryUs;
    }

    /**
     * Records that a probe was refused, and returns whether that counts: not if the member was heard or its incarnation
     * changed after the probe was sent, or if the same probe was refused before.
     */
    boolean isRefusalProof(long now, Member member, long probedAt) {
        if (!member.isObserved()
                || probedAt
                        <= Math.max(member.probeRefusedAt, Math.max(member.lastAliveAt, member.incarnationKnownAt))) {
            return false;
        }
        member.probesRefused++;
        member.probeRefusedAt = probedAt;
        member.unansweredProbes = 0;
        return true;
    }
}
