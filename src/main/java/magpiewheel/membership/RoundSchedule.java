package magpiewheel.membership;

/** Schedules the checks and the rounds of messages: one round per heartbeat, and earlier ones for updates. */
final class RoundSchedule {
    /** Checks of the members per heartbeat; updates wait for at most one check interval. */
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

    /** Returns when the next check or early round is due. */
    long due() {
        return Math.min(nextCheckAt, flushAt);
    }

    /** Whether the check is so late that this process must have been paused. */
    boolean wasPaused(long now) {
        return now - nextCheckAt > 2 * heartbeatUs;
    }

    /** Returns whether a check is due, and if so schedules the next one. */
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

    /** Starts a round. Returns whether it is a heartbeat. */
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

    /** Schedules an early round, at least one check interval after the last round. */
    void flushSoon(long now) {
        flushAt = Math.min(flushAt, Math.max(now, lastRoundAt + checkIntervalUs()));
    }

    /** Schedules the next round one check interval from now: the last one could not hold all updates. */
    void flushRemaining(long now) {
        flushAt = now + checkIntervalUs();
    }

    /** Returns the interval between checks, in microseconds. */
    long checkIntervalUs() {
        return heartbeatUs / CHECKS_PER_HEARTBEAT;
    }

    /** Whether the number of heartbeats sent is a multiple of {@code count}. */
    boolean isMultipleOf(int count) {
        return heartbeats % count == 0;
    }
}
