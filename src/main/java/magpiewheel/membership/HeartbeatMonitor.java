package magpiewheel.membership;

/** How long members are silent, as this member hears them; a pause of its own process counts against nobody. */
final class HeartbeatMonitor {
    /** Heartbeats of silence until an observer suspects a member; three lost in a row are nothing at 5% loss. */
    static final int SUSPECT_AFTER_HEARTBEATS = 4;
    /** Heartbeats within which a suspect has to answer an observer that did not observe it before. */
    private static final int SUSPECT_REPLY_HEARTBEATS = 2;
    /** us; the latest that a datagram comes: silence is judged from when it was sent. */
    static final long MAX_DELAY_US = 25_000;
    /** us; after a start this member may hear of an incarnation of its own that it never had. */
    private static final long SETTLING_US = 5_000_000;

    private final MembershipConfig config;
    private final long startedAt;
    private long resumedAt;
    private boolean heardAnyone;

    HeartbeatMonitor(MembershipConfig config, long now) {
        this.config = config;
        startedAt = now;
        resumedAt = now;
    }

    /** This process was paused until now: silence counts from now on. */
    void resumed(long now) {
        resumedAt = now;
    }

    /** When this process resumed last. */
    long resumedAt() {
        return resumedAt;
    }

    /** How long this member runs, us. */
    long uptimeUs(long now) {
        return now - startedAt;
    }

    /** Whether this member started a short while ago. */
    boolean isSettling(long now) {
        return uptimeUs(now) < SETTLING_US;
    }

    /** Whether this member runs for so long that it must have heard of all others. */
    boolean hasSettled(long now) {
        return uptimeUs(now) > SETTLING_US;
    }

    /** A heartbeat of some member came. */
    void heartbeatReceived() {
        heardAnyone = true;
    }

    /** Whether a heartbeat of some member ever came. */
    boolean heardAnyone() {
        return heardAnyone;
    }

    /** The longer of the own and a member's time from one heartbeat to the next, us. */
    long heartbeatUs(Member member) {
        return Math.max(config.heartbeatUs(), member.heartbeatUs);
    }

    /** us; silence after which a member is suspected. */
    long silenceUs(Member member) {
        return SUSPECT_AFTER_HEARTBEATS * heartbeatUs(member) + MAX_DELAY_US;
    }

    /** Whether a heartbeat of a member came within the time after which it is suspected. */
    boolean isHeard(long now, Member member) {
        return member.isFresh(now, silenceUs(member));
    }

    /** Since when an observed member is silent: since its last sign of life, but not from before it was observed. */
    long silentSince(Member member) {
        return Math.max(resumedAt, Math.max(member.observedSince, member.lastAliveAt));
    }

    /** Whether an observed member is silent for too long; one that others suspect should have answered sooner. */
    boolean isSilent(long now, Member member) {
        long limitUs = member.status == MemberStatus.SUSPECT
                ? SUSPECT_REPLY_HEARTBEATS * heartbeatUs(member) + 2 * MAX_DELAY_US
                : silenceUs(member);
        return member.isObserved() && now - silentSince(member) > limitUs;
    }
}
