package magpiewheel.resp;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import magpiewheel.engine.Engine;
import magpiewheel.engine.PendingRequest;

/**
 * Requests that a client no longer waits for. The connection's reader tells the engine itself, since the connection's
 * actor may be held up by a client that is slow to read; the engine hears of each request at most once that it was
 * given up, and never before it took it.
 */
final class Cancellations {
    private final Engine engine;
    /** Given up by the client, and the actor has not worked that off yet. */
    private final Set<Long> cancelled = ConcurrentHashMap.newKeySet();
    /** With the engine, and neither answered nor given up: who removes one from here tells the engine. */
    private final Map<Long, PendingRequest> inEngine = new ConcurrentHashMap<>();

    private volatile boolean allCancelled;

    Cancellations(Engine engine) {
        this.engine = engine;
    }

    /** On the reader: the client gives the request up. */
    void cancel(long tag) {
        cancelled.add(tag);
        PendingRequest request = inEngine.remove(tag);
        if (request != null) {
            engine.clientDisconnected(request);
        }
    }

    /** On the reader: the client has left. The mark counts at once; the actor tells the engine when it has its turn. */
    void cancelAll() {
        allCancelled = true;
        inEngine.values().forEach(PendingRequest::abandon);
    }

    /** Whether the client gave the request up, and the actor has yet to hear of it. */
    boolean contains(long tag) {
        return cancelled.contains(tag);
    }

    /** On the actor: gives a request to the engine. */
    void submit(long tag, PendingRequest request) {
        abandonIfCancelled(tag, request);
        engine.submit(request);
        inEngine.put(tag, request);
        // The reader may have looked for it before it was there.
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

    /** On the actor: the request is given up, unless the reader has told the engine so. */
    void cancelInEngine(long tag, PendingRequest request) {
        if (inEngine.remove(tag, request)) {
            engine.clientDisconnected(request);
        }
    }

    /** On the actor: the request has its answer. */
    void answered(long tag) {
        inEngine.remove(tag);
    }

    /** On the actor: it has heard that the client gave the request up. */
    void processed(long tag) {
        cancelled.remove(tag);
    }
}
