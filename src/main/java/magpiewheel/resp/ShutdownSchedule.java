package magpiewheel.resp;

import java.util.Collection;

/**
 * When a terminating process does what, each in milliseconds after SIGTERM. The platform may kill the process the
 * longest deadline of the deployment after SIGTERM, counted as 3 s at most, plus 0.7 s; everything else is counted back
 * from there.
 *
 * @param acceptUntilMs until when new connections are accepted, if no other process accepts on the same socket
 * @param refuseFromMs from when new requests are rejected, so that those taken before can be answered
 * @param answerByMs by when every request is answered; what is open then is failed, and its connection closed
 * @param exitByMs when the process ends, even if clients have not closed their side
 * @param killAtMs the earliest time of SIGKILL
 */
public record ShutdownSchedule(long acceptUntilMs, long refuseFromMs, long answerByMs, long exitByMs, long killAtMs) {
    private static final long LONGEST_COUNTED_DEADLINE_MS = 3_000;
    private static final long KILL_AFTER_DEADLINE_MS = 700;
    /**
     * New connections arrive for 0.4 s and requests on them for another 0.2 s, and a close that crosses a request costs
     * the client a retry; the rest is for a slow machine.
     */
    private static final long LONGEST_ACCEPT_MS = 800;
    /** For failing what is still open, and for clients to read it. */
    private static final long ANSWER_BEFORE_KILL_MS = 300;
    /** For the end of the process itself, on a slow machine. */
    private static final long EXIT_BEFORE_KILL_MS = 200;
    /** A request taken last has this part of the longest deadline to be answered. */
    private static final long LAST_REQUEST_DIVISOR = 3;

    private static final long MICROS_PER_MILLI = 1_000;

    /** Returns the schedule of a deployment with these deadlines of its classes, in microseconds. */
    public static ShutdownSchedule of(Collection<Long> deadlinesUs) {
        long longestMs =
                deadlinesUs.stream().mapToLong(Long::longValue).max().orElse(Long.MAX_VALUE) / MICROS_PER_MILLI;
        long countedMs = Math.min(longestMs, LONGEST_COUNTED_DEADLINE_MS);
        long killAtMs = countedMs + KILL_AFTER_DEADLINE_MS;
        long answerByMs = killAtMs - ANSWER_BEFORE_KILL_MS;
        long refuseFromMs = answerByMs - countedMs / LAST_REQUEST_DIVISOR;
        return new ShutdownSchedule(
                Math.min(LONGEST_ACCEPT_MS, refuseFromMs),
                refuseFromMs,
                answerByMs,
                killAtMs - EXIT_BEFORE_KILL_MS,
                killAtMs);
    }

    @Override
    public String toString() {
        return "accept_until_ms=" + acceptUntilMs + " refuse_from_ms=" + refuseFromMs + " answer_by_ms=" + answerByMs
                + " exit_by_ms=" + exitByMs + " kill_at_ms=" + killAtMs;
    }
}
