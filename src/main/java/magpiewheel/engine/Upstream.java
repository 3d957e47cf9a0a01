package magpiewheel.engine;

import java.util.List;

/** Sends attempts to the endpoints. Called on the engine's actor, so no method may block. */
public interface Upstream {
    /** Accepts an attempt; returns false if there is no room for it, which guarantees that nothing was sent. */
    boolean send(Attempt attempt);

    /**
     * Cancels an attempt. {@link Engine#attemptEnded} follows once the cancellation is written, unless the response
     * arrives first.
     */
    void cancel(Attempt attempt);

    /** Every change of the endpoint list that discovery told before this time (Unix microseconds) is known. */
    default void listCurrentAsOf(long atUs) {}

    /**
     * Endpoints that this list, as in {@link #endpointsChanged}, does not call ready get no attempt from now on. Called
     * on any thread, ahead of the engine's mailbox, which may be long.
     */
    void excludeUnready(List<ListedEndpoint> endpoints, boolean complete);

    /**
     * The endpoint list changed. If {@code complete}, the list names every remaining endpoint, otherwise only the
     * changes.
     */
    void endpointsChanged(List<ListedEndpoint> endpoints, boolean complete);
}
