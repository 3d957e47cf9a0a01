package magpiewheel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import magpiewheel.routing.CacheStatus;
import magpiewheel.staleness.ReadHint;

/** A client's request, from its receipt until its last attempt has ended. Owned by the engine's actor. */
public final class PendingRequest {
    /**
     * What the client requested. {@code nonce}, {@code heldTag} (the tag of the client's own copy) and {@code body} may
     * be null.
     */
    public record ClientRequest(
            String trace,
            int classIndex,
            String className,
            long object,
            int part,
            int group,
            double sizeKb,
            long timeBudgetUs,
            String nonce,
            String heldTag,
            Body body,
            ReadHint hint) {
        /** Creates a request without a read hint. */
        public ClientRequest(
                String trace,
                int classIndex,
                String className,
                long object,
                int part,
                int group,
                double sizeKb,
                long timeBudgetUs,
                String nonce,
                String heldTag,
                Body body) {
            this(
                    trace,
                    classIndex,
                    className,
                    object,
                    part,
                    group,
                    sizeKb,
                    timeBudgetUs,
                    nonce,
                    heldTag,
                    body,
                    ReadHint.NONE);
        }
    }

    /** The possible outcomes of a request. */
    public enum Outcome {
        SERVED,
        UNCHANGED,
        REJECTED,
        FAILED
    }

    /**
     * A final response. Its receiver releases the body, which is null unless the outcome is {@code SERVED}.
     * {@code fromLocalCopy} marks a copy from this router's own memory; {@code cacheStatus} is the status that the
     * cache reported. {@code markMs} and {@code ageMs} are sent to the client unless they are 0.
     */
    public record Response(
            Outcome outcome,
            Body body,
            String tag,
            long retryAfterUs,
            boolean fromLocalCopy,
            CacheStatus cacheStatus,
            long markMs,
            long ageMs) {
        /** Returns a rejection, with a retry-after time in microseconds. */
        public static Response rejected(long retryAfterUs) {
            return new Response(Outcome.REJECTED, null, null, retryAfterUs, false, CacheStatus.UNKNOWN, 0, 0);
        }

        /** Returns a failure. */
        public static Response failed() {
            return new Response(Outcome.FAILED, null, null, 0, false, CacheStatus.UNKNOWN, 0, 0);
        }
    }

    /** The IPv4 addresses and ports of both ends of a client's connection. */
    public record ConnectionAddresses(int routerAddress, int routerPort, int clientAddress, int clientPort) {}

    /**
     * Receives the one final response. Called on the engine's actor, or on the thread that submits a request if it is
     * rejected there, so it must not block.
     */
    public interface Responder {
        /** Receives the final response and the reference to its body. */
        void respond(PendingRequest request, Response response);

        /** Returns the addresses of the client's connection; null if unknown. */
        ConnectionAddresses addresses();
    }

    final ClientRequest clientRequest;
    final Responder responder;
    final long receivedAtUs;
    final long clientDeadlineUs;
    final long deadlineUs;
    long id;
    Timers.Timer overdueTimer;
    ResponseCache.Copy localCopy;
    boolean answered;
    boolean requestBodyReleased;
    private volatile boolean abandoned;
    int openAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Object> connections = new CopyOnWriteArrayList<>();

    /**
     * Creates a request received at {@code receivedAtUs}. It must be answered before {@code deadlineUs}, which is the
     * client's deadline or earlier if the router shuts down before that. All times are Unix microseconds.
     */
    public PendingRequest(
            ClientRequest clientRequest,
            Responder responder,
            long receivedAtUs,
            long clientDeadlineUs,
            long deadlineUs) {
        this.clientRequest = clientRequest;
        this.responder = responder;
        this.receivedAtUs = receivedAtUs;
        this.clientDeadlineUs = clientDeadlineUs;
        this.deadlineUs = deadlineUs;
    }

    /**
     * Marks that the client no longer waits. Effective at once on any thread, even if the mailboxes on the way to the
     * engine are full: no attempt of this request is started any more. A call of {@link Engine#clientDisconnected}
     * follows.
     */
    public void abandon() {
        abandoned = true;
    }

    /** Whether the client no longer waits. */
    public boolean abandoned() {
        return abandoned;
    }

    /** Records that a connection carries an attempt of this request. */
    public void addConnection(Object connection) {
        connections.add(connection);
    }

    /**
     * Whether a connection carried an earlier attempt of this request: a late duplicate of that response would be taken
     * for the response to the next attempt.
     */
    public boolean usedConnection(Object connection) {
        return connections.contains(connection);
    }

    /** Returns what the client requested. */
    public ClientRequest clientRequest() {
        return clientRequest;
    }

    /** Returns the addresses of the client's connection; null if unknown. */
    public ConnectionAddresses addresses() {
        return responder.addresses();
    }

    /** Returns when it was received, in Unix microseconds. */
    public long receivedAtUs() {
        return receivedAtUs;
    }
}
