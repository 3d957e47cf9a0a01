package magpiewheel.membership;

/** Measures how long other members have been silent; a pause of the local process does not count as their silence. */
final class HeartbeatMonitor {
    /**
     * Heartbeats of silence after which an observer suspects a member; at 5% loss, three in a row may be lost by
     * chance.
     */
    static final int SUSPECT_AFTER_HEARTBEATS = 4;
    /** Heartbeats within which a suspect has to answer an observer that did not observe it before. */
    private static final int SUSPECT_REPLY_HEARTBEATS = 2;
    /** Maximum delay of a datagram, part of the silence limits because silence counts from when a datagram was sent. */
    static final long MAX_DELAY_US = 25_000;
    /**
     * Time after the start in which this member learns of all others, and may be told of an incarnation of its own that
     * this process never had.
     */
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

    /** Restarts the measurement of silence after a pause of this process. */
    void resumed(long now) {
        resumedAt = now;
    }

    /** Returns when this process started or last resumed. */
    long resumedAt() {
        return resumedAt;
    }

    /** Returns the time since this member started, in microseconds. */
    long uptimeUs(long now) {
        return now - startedAt;
    }

    /** Whether this member started less than {@link #SETTLING_US} ago. */
    boolean isSettling(long now) {
        return uptimeUs(now) < SETTLING_US;
    }

    /** Whether this member has run long enough to have heard of all others. */
    boolean hasSettled(long now) {
        return uptimeUs(now) > SETTLING_US;
    }

    /** Records that a heartbeat of some member arrived. */
    void heartbeatReceived() {
        heardAnyone = true;
    }

    /** Whether a heartbeat of any member has arrived since the start. */
    boolean heardAnyone() {
        return heardAnyone;
    }

    /** Returns the longer of this member's and another member's heartbeat interval, in microseconds. */
    long heartbeatUs(Member member) {
        return Math.max(config.heartbeatUs(), member.heartbeatUs);
    }

    /** Returns the silence after which a member is suspected, in microseconds. */
    long silenceUs(Member member) {
        return SUSPECT_AFTER_HEARTBEATS * heartbeatUs(member) + MAX_DELAY_US;
    }

    /** Whether a member's last heartbeat is recent enough for it not to be suspected. */
    boolean isHeard(long now, Member member) {
        return member.isFresh(now, silenceUs(member));
    }

    /**
     * Returns when the silence of an observed member began: at its last sign of life, but not before it was observed or
     * before this process resumed.
     */
    long silentSince(Member member) {
        return Math.max(resumedAt, Math.max(member.observedSince, member.lastAliveAt));
    }

    /** Whether an observed member has been silent for too long; a suspect has less time to answer. */
    boolean isSilent(long now, Member member) {
        long limitUs = member.status == MemberStatus.SUSPECT
                ? SUSPECT_REPLY_HEARTBEATS * heartbeatUs(member) + 2 * MAX_DELAY_US
                : silenceUs(member);
        return member.isObserved() && now - silentSince(member) > limitUs;
    }
}
