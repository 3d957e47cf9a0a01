package magpiewheel.resp;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import magpiewheel.engine.Engine;
import magpiewheel.engine.PendingRequest;

/**
 * Tracks requests that the client cancelled. The connection's reader thread notifies the engine itself, because the
 * connection's actor may be blocked on a client that reads slowly. The engine is told of each cancelled request at most
 * once, and never before it was given the request.
 */
final class Cancellations {
    private final Engine engine;
    /** Tags cancelled by the client whose cancellation the actor has not processed yet. */
    private final Set<Long> cancelled = ConcurrentHashMap.newKeySet();
    /** Requests in the engine that are neither answered nor cancelled. Whoever removes an entry notifies the engine. */
    private final Map<Long, PendingRequest> inEngine = new ConcurrentHashMap<>();

    private volatile boolean allCancelled;

    Cancellations(Engine engine) {
        this.engine = engine;
    }

    /** Cancels a request; called on the reader thread. */
    void cancel(long tag) {
        cancelled.add(tag);
        PendingRequest request = inEngine.remove(tag);
        if (request != null) {
            engine.clientDisconnected(request);
        }
    }

    /**
     * Called on the reader thread when the client has disconnected. Marks every request as abandoned at once; the actor
     * notifies the engine later, on its own turn.
     */
    void cancelAll() {
        allCancelled = true;
        inEngine.values().forEach(PendingRequest::abandon);
    }

    /** Whether the client cancelled the request and the actor has not processed the cancellation yet. */
    boolean contains(long tag) {
        return cancelled.contains(tag);
    }

    /** Passes a request to the engine; called on the actor. */
    void submit(long tag, PendingRequest request) {
        abandonIfCancelled(tag, request);
        engine.submit(request);
        inEngine.put(tag, request);
        // The reader may have cancelled the request before it was in the map.
        abandonIfCancelled(tag, request);
        if (cancelled.contains(tag)) {
            cancelInEngine(tag, request);
        }
    }

    private void abandonIfCancelled(long tag, PendingRequest request) {
        if (allCancelled || cancelled.contains(tag)) {
            request.abandon();
        }
    }

    /** Cancels the request in the engine unless the reader has done so already; called on the actor. */
    void cancelInEngine(long tag, PendingRequest request) {
        if (inEngine.remove(tag, request)) {
            engine.clientDisconnected(request);
        }
    }

    /** Forgets an answered request; called on the actor. */
    void answered(long tag) {
        inEngine.remove(tag);
    }

    /** Forgets a cancellation that the actor has processed; called on the actor. */
    void processed(long tag) {
        cancelled.remove(tag);
    }
}
