package magpiewheel.engine;

import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/**
 * How an attempt ended, as seen by the endpoint's actor. {@code endedAtUs} (Unix microseconds) is taken there because
 * time spent in the engine's mailbox must not count as response time of the endpoint. The body is set if the result is
 * {@code OK}, unless the client's copy is still current. {@code serverProven} says whether the process that the attempt
 * was written to is proven to be the server that discovery lists.
 */
public record UpstreamOutcome(
        AttemptResult result,
        CacheStatus cacheStatus,
        long firstByteUs,
        Body body,
        String tag,
        boolean unchanged,
        long endedAtUs,
        long originTimeMs,
        boolean serverProven) {
    /** Creates the outcome of an attempt at a server that is not proven to be the listed one. */
    public UpstreamOutcome(
            AttemptResult result,
            CacheStatus cacheStatus,
            long firstByteUs,
            Body body,
            String tag,
            boolean unchanged,
            long endedAtUs,
            long originTimeMs) {
        this(result, cacheStatus, firstByteUs, body, tag, unchanged, endedAtUs, originTimeMs, false);
    }

    /** Returns the same outcome, and whether the server is proven to be the listed one. */
    public UpstreamOutcome withServerProven(boolean proven) {
        return new UpstreamOutcome(
                result, cacheStatus, firstByteUs, body, tag, unchanged, endedAtUs, originTimeMs, proven);
    }

    /** Returns an outcome without a copy. */
    public static UpstreamOutcome of(AttemptResult result) {
        return new UpstreamOutcome(result, CacheStatus.UNKNOWN, 0, null, null, false, Long.MAX_VALUE, 0);
    }
}
