package magpiewheel.engine;

import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/** Receives the end of every attempt. Called on the engine's actor, so it must not block. */
public interface AttemptListener {
    /**
     * An attempt has ended. {@code endpoint} and {@code fillSource} are null if they are not in the endpoint list any
     * more; {@code responseBytes} is the length of the response body, 0 without one.
     */
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
