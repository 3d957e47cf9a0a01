package magpiewheel.membership;

/** When the next check and the next round of messages are due: one a heartbeat, and sooner where there are updates. */
final class RoundSchedule {
    /** Parts of a heartbeat: members are checked once in each, and updates wait for one at most. */
    private static final int CHECKS_PER_HEARTBEAT = 5;

    private final long heartbeatUs;
    private long nextCheckAt;
    private long nextHeartbeatAt;
    private long flushAt = Long.MAX_VALUE;
    private long lastRoundAt;
    private int heartbeats;

    RoundSchedule(MembershipConfig config, long now) {
        heartbeatUs = config.heartbeatUs();
        lastRoundAt = now - heartbeatUs;
        nextCheckAt = now;
        nextHeartbeatAt = now;
    }

    /** When something is due next. */
    long due() {
        return Math.min(nextCheckAt, flushAt);
    }

    /** Whether the check is so late that this process must have been paused. */
    boolean wasPaused(long now) {
        return now - nextCheckAt > 2 * heartbeatUs;
    }

    /** Whether a check is due; if so the next one is scheduled. */
    boolean startCheck(long now) {
        if (now < nextCheckAt) {
            return false;
        }
        nextCheckAt = now + checkIntervalUs();
        return true;
    }

    /** Whether a round of messages is due. */
    boolean isRoundDue(long now) {
        return now >= flushAt || now >= nextHeartbeatAt;
    }

    /** Starts a round; returns whether it is a heartbeat. */
    boolean startRound(long now) {
        boolean heartbeat = now >= nextHeartbeatAt;
        flushAt = Long.MAX_VALUE;
        lastRoundAt = now;
        if (heartbeat) {
            nextHeartbeatAt = now + heartbeatUs;
            heartbeats++;
        }
        return heartbeat;
    }

    /** Schedules a round soon, but not sooner than a part of a heartbeat after the last one. */
    void flushSoon(long now) {
        flushAt = Math.min(flushAt, Math.max(now, lastRoundAt + checkIntervalUs()));
    }

    /** Schedules the next round after a part of a heartbeat: the last one could not hold all updates. */
    void flushRemaining(long now) {
        flushAt = now + checkIntervalUs();
    }

    /** A part of a heartbeat, us. */
    long checkIntervalUs() {
        return heartbeatUs / CHECKS_PER_HEARTBEAT;
    }

    /** Whether this is one of the heartbeats that come every so many. */
    boolean isMultipleOf(int count) {
        return heartbeats % count == 0;
    }
}
