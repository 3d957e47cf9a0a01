package magpiewheel.engine;

import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/** Sees every attempt end. Called on the module's actor, so it must not wait. */
public interface AttemptListener {
    /** An attempt ended; a node that the list names no longer is null. {@code responseBytes} came with its answer. */
    void attemptEnded(
            PendingRequest.ClientRequest request,
            ListedEndpoint endpoint,
            ListedEndpoint fillSource,
            AttemptResult result,
            CacheStatus cacheStatus,
            long sentAtUs,
            long endedAtUs,
            int responseBytes);
}
