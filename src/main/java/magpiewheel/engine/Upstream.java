package magpiewheel.engine;

import java.util.List;

/** What the core asks of whoever talks to the nodes. Called on the module's actor; none of it may wait. */
public interface Upstream {
    /** Takes an attempt; false where there is no room, which proves that nothing ran. */
    boolean send(Attempt attempt);

    /** Calls an attempt off; {@link Engine#attemptEnded} follows once that is written, or its answer comes first. */
    void cancel(Attempt attempt);

    /** The list changed; a whole one names every node that is left. */
    void endpointsChanged(List<ListedEndpoint> endpoints, boolean complete);
}
