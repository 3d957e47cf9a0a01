package magpiewheel.membership;

import java.util.List;

/**
 * Probes neighbours that fell silent, long before silence alone means a failure: the host of a process that ended
 * refuses at once, that of a process that pauses does not.
 */
final class ReachabilityProber {
    /** Refusals in a row until a member takes another one for ended. */
    static final int REQUIRED_REFUSALS = 2;
    /**
     * Heartbeats of silence until the first probe: one lost message is nothing, and with short heartbeats neither is a
     * late one.
     */
    private static final int PROBE_AFTER_HEARTBEATS = 2;
    /** Probes without an answer in one silence: a host that does not answer proves nothing. */
    private static final int MAX_UNANSWERED_PROBES = 4;
    /** us; from a probe without an answer to the next: longer than the transport waits for one. */
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

    /** us; silence after which a member is probed. */
    long probeAfterUs(Member member) {
        long heartbeatUs = Math.max(config.heartbeatUs(), member.heartbeatUs);
        return Math.max(PROBE_AFTER_HEARTBEATS * heartbeatUs, heartbeatUs + 2 * HeartbeatMonitor.MAX_DELAY_US);
    }

    /** Probes the neighbours for which that is due; silence from before this process resumed does not count. */
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
        // Where others failed with it or were refused, there is more reason to probe than its silence here.
        boolean isDoubtful = member.possiblyUnobserved
                || member.probesRefused > 0
                || member.status == MemberStatus.SUSPECT && member.unreachableProvenMs > 0;
        return now - since > probeAfterUs(member) || isDoubtful && !member.isFresh(now, probeAfterUs(member));
    }

    /** A refusal is confirmed by a second probe at once. */
    private long retryAfterUs(Member member) {
        return member.probesRefused > 0 && member.probeRefusedAt >= member.probedAt ? 0 : retryUs;
    }

    /**
     * A probe was refused; returns whether that proves anything: not if the member was heard since, or has another
     * incarnation since, or the same probe was refused before.
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
