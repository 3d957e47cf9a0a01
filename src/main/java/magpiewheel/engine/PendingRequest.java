package magpiewheel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import magpiewheel.routing.CacheStatus;
import magpiewheel.staleness.ReadHint;

/** A client's request from when it was taken until its last attempt has ended. The module's actor owns it. */
public final class PendingRequest {
    /** What a front was asked for; {@code nonce} and {@code heldTag} may be null, {@code body} too. */
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
        /** Without a hint. */
        public ClientRequest(
                String trace,
                int profile,
                String className,
                long object,
                int part,
                int group,
                double kbytes,
                long patienceUs,
                String nonce,
                String held,
                Body body) {
            this(trace, profile, className, object, part, group, kbytes, patienceUs, nonce, held, body, ReadHint.NONE);
        }
    }

    /** The four ends that a request can have. */
    public enum Outcome {
        SERVED,
        UNCHANGED,
        REJECTED,
        FAILED
    }

    /**
     * A final answer. Who gets it releases the body, which is null but for {@code SERVED}. {@code fromLocalCopy} marks
     * a copy of the front's own, {@code cacheStatus} is what the cache said of its. {@code markMs} and {@code ageMs}
     * are told where they are not 0.
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
        /** Turned away before anything was done. */
        public static Response rejected(long retryAfterUs) {
            return new Response(Outcome.REJECTED, null, null, retryAfterUs, false, CacheStatus.UNKNOWN, 0, 0);
        }

        /** Failed. */
        public static Response failed() {
            return new Response(Outcome.FAILED, null, null, 0, false, CacheStatus.UNKNOWN, 0, 0);
        }
    }

    /** The addresses and ports at both ends of a client's connection. */
    public record ConnectionAddresses(int routerAddress, int routerPort, int clientAddress, int clientPort) {}

    /** Where the one final answer goes; called on the module's actor, so it must not wait. */
    public interface Responder {
        /** The final answer. */
        void respond(PendingRequest request, Response response);

        /** Where the client is; null where that is not known. */
        ConnectionAddresses addresses();
    }

    final ClientRequest request;
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
     * A call taken at a time, to be answered before its deadline: the client's patience, or less where the front ends.
     */
    public PendingRequest(
            ClientRequest request, Responder responder, long receivedAtUs, long clientDeadlineUs, long deadlineUs) {
        this.request = request;
        this.responder = responder;
        this.receivedAtUs = receivedAtUs;
        this.clientDeadlineUs = clientDeadlineUs;
        this.deadlineUs = deadlineUs;
    }

    /**
     * The client waits no longer. It counts from this moment, on whichever thread it is noticed and however full the
     * mailboxes on the way to the module are: no attempt of this request begins any more.
     * {@link Engine#clientDisconnected} follows.
     */
    public void abandon() {
        abandoned = true;
    }

    /** Whether the client waits no longer. */
    public boolean abandoned() {
        return abandoned;
    }

    /** A connection carries a try of it. */
    public void addConnection(Object connection) {
        connections.add(connection);
    }

    /** Whether a connection carried an earlier try: a late second copy of that answer would pass for the next one's. */
    public boolean usedConnection(Object connection) {
        return connections.contains(connection);
    }

    /** What was asked for. */
    public ClientRequest request() {
        return request;
    }

    /** Where its client is. */
    public ConnectionAddresses addresses() {
        return responder.addresses();
    }

    /** When it was taken, in Unix microseconds. */
    public long receivedAtUs() {
        return receivedAtUs;
    }
}
