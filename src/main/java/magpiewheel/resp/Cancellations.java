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
    private final Set<Long> withdrawn = ConcurrentHashMap.newKeySet();
    /** With the engine, and neither answered nor given up: who removes one from here tells the engine. */
    private final Map<Long, PendingRequest> taken = new ConcurrentHashMap<>();

    private volatile boolean allWithdrawn;

    Cancellations(Engine engine) {
        this.engine = engine;
    }

    /** On the reader: the client gives the request up. */
    void withdraw(long tag) {
        withdrawn.add(tag);
        PendingRequest call = taken.remove(tag);
        if (call != null) {
            engine.clientDisconnected(call);
        }
    }

    /** On the reader: the client has left. The mark counts at once; the actor tells the engine when it has its turn. */
    void withdrawAll() {
        allWithdrawn = true;
        taken.values().forEach(PendingRequest::abandon);
    }

    /** Whether the client gave the request up, and the actor has yet to hear of it. */
    boolean contains(long tag) {
        return withdrawn.contains(tag);
    }

    /** On the actor: gives a request to the engine. */
    void take(long tag, PendingRequest call) {
        markIfWithdrawn(tag, call);
        engine.submit(call);
        taken.put(tag, call);
        // The reader may have looked for it before it was there.
        markIfWithdrawn(tag, call);
        if (withdrawn.contains(tag)) {
            giveUp(tag, call);
        }
    }

    private void markIfWithdrawn(long tag, PendingRequest call) {
        if (allWithdrawn || withdrawn.contains(tag)) {
            call.abandon();
        }
    }

    /** On the actor: the request is given up, unless the reader has told the engine so. */
    void giveUp(long tag, PendingRequest call) {
        if (taken.remove(tag, call)) {
            engine.clientDisconnected(call);
        }
    }

    /** On the actor: the request has its answer. */
    void answered(long tag) {
        taken.remove(tag);
    }

    /** On the actor: it has heard that the client gave the request up. */
    void workedOff(long tag) {
        withdrawn.remove(tag);
    }
}
