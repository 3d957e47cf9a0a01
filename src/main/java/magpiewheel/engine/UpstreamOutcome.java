package magpiewheel.engine;

import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/**
 * How a node's side saw an attempt end, and when (Unix us): an answer that waited here for its turn says nothing of how
 * long its node took. The body is set with {@code OK} unless the client's copy holds.
 */
public record UpstreamOutcome(
        AttemptResult result,
        CacheStatus cacheStatus,
        long firstByteUs,
        Body body,
        String tag,
        boolean unchanged,
        long endedAtUs,
        long originTimeMs) {
    /** An end that brought no copy. */
    public static UpstreamOutcome of(AttemptResult result) {
        return new UpstreamOutcome(result, CacheStatus.UNKNOWN, 0, null, null, false, Long.MAX_VALUE, 0);
    }
}
