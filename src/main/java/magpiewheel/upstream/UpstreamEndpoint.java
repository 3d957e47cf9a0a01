package magpiewheel.upstream;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Attempt;
import magpiewheel.engine.Counter;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.UpstreamOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.UpstreamPool.Shared;

/**
 * The actor of one endpoint. It owns the endpoint's connections and does all writing to them; each connection has its
 * own reader. A connection carries one request at a time, to avoid head-of-line blocking between responses. An attempt
 * is rejected if the mailbox is full or no connection can be opened.
 */
final class UpstreamEndpoint extends Actor {
    private static final int MAILBOX_CAPACITY = 512;
    /**
     * Attempts accepted at once. Each may be cancelled once, and the mailbox's reserve has room for all cancellations.
     */
    private static final int MAX_ACCEPTED_ATTEMPTS = 256;
    /** Connections to one endpoint: above what the routing policy's limit and a period of slow responses require. */
    private static final int MAX_CONNECTIONS = 96;

    private static final long IDLE_CHECK_INTERVAL_US = 500_000;

    private final ListedEndpoint listed;
    private final Shared shared;
    private final Map<Attempt, UpstreamConnection> connectionsByAttempt = new HashMap<>();
    private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    /** Connections being opened, the oldest first. An attempt that waits for one may move to another connection. */
    private final Set<UpstreamConnection> connecting = new LinkedHashSet<>();

    private final AtomicInteger acceptedAttempts = new AtomicInteger();
    private int connectionCount;
    private boolean retired;
    /** Unix us; when the endpoint left the list. */
    private long listedUntilUs = Long.MAX_VALUE;

    UpstreamEndpoint(ListedEndpoint listed, Shared shared) {
        super(
                "endpoint-" + Long.toHexString(listed.info().id()),
                MAILBOX_CAPACITY,
                MAX_ACCEPTED_ATTEMPTS + 1,
                shared.counters());
        this.listed = listed;
        this.shared = shared;
    }

    boolean isSameProcess(ListedEndpoint other) {
        return listed.address() == other.address()
                && listed.port() == other.port()
                && listed.info().startedUs() == other.info().startedUs();
    }

    boolean send(Attempt attempt) {
        if (acceptedAttempts.incrementAndGet() > MAX_ACCEPTED_ATTEMPTS || !offer(() -> startAttempt(attempt))) {
            acceptedAttempts.decrementAndGet();
            return false;
        }
        return true;
    }

    void cancel(Attempt attempt) {
        offerReserved(() -> cancelAttempt(attempt));
    }

    /**
     * Called when the endpoint has left the endpoint list: requests in flight may still complete, then the actor stops.
     */
    void retire() {
        offerReserved(() -> {
            retired = true;
            listedUntilUs = Math.min(listedUntilUs, shared.clock().now());
            idleConnections.forEach(connection -> connection.close("endpoint-removed"));
            idleConnections.clear();
        });
    }

    private void startAttempt(Attempt attempt) {
        if (!mayBegin(attempt)) {
            completeUnsent(attempt);
            return;
        }
        UpstreamConnection connection = takeIdleConnection(attempt);
        if (connection != null) {
            assign(attempt, connection);
            writeRequest(connection);
        } else if (attempt.plan().requiresProvenServer()) {
            logUnproven(attempt);
            completeUnsent(attempt);
        } else if (!connect(attempt)) {
            complete(attempt, UpstreamOutcome.of(AttemptResult.REJECTED));
        }
    }

    /**
     * Opens a connection for an attempt or, with null, for whichever attempt waits once it is open; returns false if a
     * connection limit is reached.
     */
    private boolean connect(Attempt attempt) {
        if (connectionCount >= MAX_CONNECTIONS) {
            return false;
        }
        if (shared.freeConnections().getAndDecrement() <= 0) {
            shared.freeConnections().incrementAndGet();
            return false;
        }
        connectionCount++;
        shared.counters().add(Counter.DIALS);
        UpstreamConnection connection = new UpstreamConnection(this, listed, shared);
        connecting.add(connection);
        if (attempt != null) {
            assign(attempt, connection);
        }
        connection.start();
        return true;
    }

    /**
     * Whether the attempt may still be written; checked again right before, as the wait for a connection may have been
     * long.
     */
    private boolean mayBegin(Attempt attempt) {
        Set<Long> ready = shared.readyEndpoints();
        return !retired
                && attempt.mayStart(shared.clock().now())
                && ready.contains(attempt.endpointId())
                && ready.contains(attempt.plan().fillSource());
    }

    private void assign(Attempt attempt, UpstreamConnection connection) {
        connection.attempt = attempt;
        connectionsByAttempt.put(attempt, connection);
    }

    /**
     * Assigns to a connection the attempt that has waited longest for another connection to open; returns false if
     * there is none that may use this one.
     */
    private boolean assignWaitingAttempt(UpstreamConnection connection) {
        for (UpstreamConnection pending : connecting) {
            if (pending.attempt != null && mayUse(pending.attempt, connection)) {
                assign(unassign(pending), connection);
                return true;
            }
        }
        return false;
    }

    /**
     * Takes the most recently used idle connection, or null. Skips connections that carried an earlier attempt of the
     * same request, and closed ones whose reader has not reported the end yet.
     */
    private UpstreamConnection takeIdleConnection(Attempt attempt) {
        for (Iterator<UpstreamConnection> from = idleConnections.descendingIterator(); from.hasNext(); ) {
            UpstreamConnection connection = from.next();
            if (connection.isUsable() && mayUse(attempt, connection)) {
                from.remove();
                return connection;
            }
        }
        return null;
    }

    private boolean mayUse(Attempt attempt, UpstreamConnection connection) {
        return !attempt.request().usedConnection(connection)
                && (!attempt.plan().requiresProvenServer() || provesServer(connection));
    }

    /** Whether the process behind a connection is proven to be this endpoint. */
    private boolean provesServer(UpstreamConnection connection) {
        return shared.serverIdentity().isProven(connection.openedAtUs(), listedUntilUs);
    }

    private void logUnproven(Attempt attempt) {
        EventLog.log(
                EventLog.Event.ATTEMPT_NOT_SENT,
                "endpoint=" + UpstreamConnection.nodeName(listed.info().id()) + " reason=server-unproven trace="
                        + attempt.request().clientRequest().trace());
    }

    /**
     * Writes the connection's assigned attempt unless that may no longer begin: the connection may have opened late.
     */
    private void writeRequest(UpstreamConnection connection) {
        Attempt attempt = connection.attempt;
        if (!mayBegin(attempt)) {
            unassign(connection);
            completeUnsent(attempt);
            release(connection);
            return;
        }
        try {
            attempt.request().addConnection(connection);
            if (!connection.writeRequest(attempt)) {
                requestNotSent(connection);
            }
        } catch (IOException e) {
            // The line was accepted, and part of the body may have been: the request may have run.
            drop(connection, AttemptResult.CONNECTION_LOST);
        }
    }

    /**
     * Handles a connection that ended before a byte of the request was accepted, which proves that the request never
     * ran. An idle connection may simply have been closed by its endpoint, which is no sign of a fault: another one is
     * tried.
     */
    private void requestNotSent(UpstreamConnection connection) {
        Attempt attempt = unassign(connection);
        connection.close("write-failed");
        if (connection.isReused()) {
            startAttempt(attempt);
        } else {
            complete(attempt, UpstreamOutcome.of(AttemptResult.UNREACHABLE));
        }
    }

    private Attempt unassign(UpstreamConnection connection) {
        Attempt attempt = connection.attempt;
        connection.attempt = null;
        connectionsByAttempt.remove(attempt);
        return attempt;
    }

    private void cancelAttempt(Attempt attempt) {
        UpstreamConnection connection = connectionsByAttempt.remove(attempt);
        if (connection == null) {
            return;
        }
        connection.attempt = null;
        if (connecting.contains(connection)) {
            // The connection continues to open, for a later attempt.
            completeUnsent(attempt);
            return;
        }
        // Closed after the cancel message: an unresponsive host must not get the next request too.
        connection.cancel(attempt);
        complete(attempt, UpstreamOutcome.of(AttemptResult.CANCELLED).withServerProven(provesServer(connection)));
    }

    /**
     * Completes an attempt of which no byte was written, which proves that it never ran. If the client has
     * disconnected, no decision is left to make and the endpoint is not at fault: the result is then CANCELLED.
     */
    private void completeUnsent(Attempt attempt) {
        complete(
                attempt,
                UpstreamOutcome.of(
                        attempt.request().abandoned() ? AttemptResult.CANCELLED : AttemptResult.UNREACHABLE));
    }

    private void complete(Attempt attempt, UpstreamOutcome outcome) {
        acceptedAttempts.decrementAndGet();
        shared.engine()[0].attemptEnded(attempt, outcome);
    }

    // ---------------------------------------------------------------- from the connections' readers

    void connected(UpstreamConnection connection) {
        putAndRun(() -> {
            connecting.remove(connection);
            if (connection.attempt != null) {
                writeRequest(connection);
            } else {
                release(connection);
            }
        });
    }

    /**
     * Handles the response to an attempt; returns false if the actor has stopped, in which case the reader keeps
     * ownership of the body.
     */
    boolean responseReceived(UpstreamConnection connection, Attempt attempt, UpstreamOutcome outcome) {
        return putAndRun(() -> {
            if (connection.attempt != attempt) {
                if (outcome.body() != null) {
                    outcome.body().release();
                }
                return;
            }
            unassign(connection);
            complete(attempt, outcome.withServerProven(provesServer(connection)));
            release(connection);
        });
    }

    /**
     * Handles a response that belongs to no request. A request in flight on the connection still gets its response,
     * then the connection is closed.
     */
    void unexpectedResponse(UpstreamConnection connection) {
        put(() -> {
            connection.desynchronized = true;
            if (connection.attempt == null && idleConnections.remove(connection)) {
                connection.close("unexpected-response");
            }
        });
    }

    /** Handles the end of a connection with its result, and frees its place in the connection limits. */
    void disconnected(UpstreamConnection connection, AttemptResult result) {
        put(() -> {
            connectionCount--;
            shared.freeConnections().incrementAndGet();
            idleConnections.remove(connection);
            connecting.remove(connection);
            drop(connection, result);
        });
    }

    private void drop(UpstreamConnection connection, AttemptResult result) {
        connection.close(result.name().toLowerCase(Locale.ROOT));
        if (connection.attempt != null) {
            complete(unassign(connection), UpstreamOutcome.of(result).withServerProven(provesServer(connection)));
        }
    }

    private void release(UpstreamConnection connection) {
        if (retired || connection.desynchronized) {
            connection.close(retired ? "endpoint-removed" : "unexpected-response");
        } else if (!connection.isClosed() && assignWaitingAttempt(connection)) {
            writeRequest(connection);
        } else if (!connection.isClosed()) {
            connection.idleSinceNs = System.nanoTime();
            idleConnections.addLast(connection);
        }
    }

    @Override
    protected long untilDueWorkUs() {
        long wait = idleConnections.isEmpty() ? Long.MAX_VALUE : IDLE_CHECK_INTERVAL_US;
        long now = shared.clock().now();
        for (UpstreamConnection pending : connecting) {
            wait = Math.min(wait, Math.max(0, pending.nextCheckAtUs() - now));
        }
        return wait == Long.MAX_VALUE ? -1 : wait;
    }

    @Override
    protected void runDueWork() {
        long keepNs = shared.keepAlive().idleTimeoutNs(shared.freeConnections().get());
        while (!idleConnections.isEmpty() && System.nanoTime() - idleConnections.peekFirst().idleSinceNs > keepNs) {
            idleConnections.pollFirst().close(UpstreamConnection.IDLE_TIMEOUT);
        }
        checkConnecting(shared.clock().now());
        if (retired && connectionCount == 0) {
            stop();
        }
    }

    /**
     * Checks the attempts that wait for a connection to open. After half of the time in which an attempt may begin, a
     * second connection is opened in case the first opens late or never; at the end of that time the attempt ends
     * unsent, so that the request can go to another endpoint.
     */
    private void checkConnecting(long now) {
        for (UpstreamConnection pending : List.copyOf(connecting)) {
            if (now < pending.nextCheckAtUs()) {
                continue;
            }
            if (now >= pending.attempt.startByUs()) {
                completeUnsent(unassign(pending));
            } else {
                pending.hasBackup = true;
                connect(null);
            }
        }
    }
}
