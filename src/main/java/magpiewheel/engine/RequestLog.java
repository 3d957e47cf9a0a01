package magpiewheel.engine;

import java.util.Locale;
import magpiewheel.routing.AttemptResult;

/** The event log's lines about requests that were not served, and about their attempts. Used on the engine's actor. */
final class RequestLog {
    private static final int MICROS_PER_MILLI = 1_000;

    private RequestLog() {}

    /** Logs that a request was rejected or failed, with the reason and what became of its last attempt. */
    static void notServed(PendingRequest pending, PendingRequest.Outcome outcome, String reason, long nowUs) {
        EventLog.Event event = outcome == PendingRequest.Outcome.REJECTED
                ? EventLog.Event.REQUEST_REJECTED
                : EventLog.Event.REQUEST_FAILED;
        EventLog.log(
                event,
                "trace=" + pending.clientRequest.trace() + " reason=" + reason + " open_ms="
                        + (nowUs - pending.receivedAtUs) / MICROS_PER_MILLI + " attempts=" + pending.attempts.size()
                        + " last=" + lastResult(pending, pending.attempts.size()));
    }

    /** Logs that an attempt begins that is not its request's first. */
    static void retry(PendingRequest pending, Attempt attempt) {
        EventLog.log(
                EventLog.Event.RETRY,
                "trace=" + pending.clientRequest.trace() + " attempt=" + attempt.index + " endpoint=s-"
                        + Long.toHexString(attempt.endpointId()) + " after=" + lastResult(pending, attempt.index));
    }

    private static String lastResult(PendingRequest pending, int count) {
        if (count == 0) {
            return "none";
        }
        AttemptResult result = pending.attempts.get(count - 1).result;
        return result == null ? "open" : result.name().toLowerCase(Locale.ROOT);
    }
}
