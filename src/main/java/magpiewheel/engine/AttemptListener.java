package magpiewheel.engine;

import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/** Sees every attempt end. Called on the module's actor, so it must not wait. */
public interface AttemptListener {
    /** An attempt ended; a node that the list names no longer is null. {@code octets} came with its answer. */
    void ended(
            PendingRequest.Ask ask,
            ListedEndpoint target,
            ListedEndpoint source,
            AttemptResult result,
            CacheStatus note,
            long sentAtUs,
            long endedAtUs,
            int octets);
}
