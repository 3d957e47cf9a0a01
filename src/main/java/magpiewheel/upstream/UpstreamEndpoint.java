package magpiewheel.upstream;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Attempt;
import magpiewheel.engine.Counter;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.UpstreamOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.UpstreamPool.Shared;

/**
 * The actor of one node. It owns the node's connections and does all writing to them; each connection has a reader of
 * its own. A connection carries one request at a time, since an answer on its way would hold up all behind it; a full
 * mailbox, or no room for a connection, turns the attempt away.
 */
final class UpstreamEndpoint extends Actor {
    private static final int MAILBOX_CAPACITY = 512;
    /** Attempts let in at once. Each may be called off once, and the mailbox's reserve has room for all of that. */
    private static final int MAX_ACCEPTED_ATTEMPTS = 256;
    /** Connections to one node: above what its module's limit and a spell of slow answers put there. */
    private static final int MAX_CONNECTIONS = 96;

    private static final long IDLE_CHECK_INTERVAL_US = 500_000;

    private final ListedEndpoint listed;
    private final Shared shared;
    private final Map<Attempt, UpstreamConnection> connectionsByAttempt = new HashMap<>();
    private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    /** Connections that are coming up, the oldest first; each was begun for an attempt, which another may take over. */
    private final Set<UpstreamConnection> connecting = new LinkedHashSet<>();

    private final AtomicInteger acceptedAttempts = new AtomicInteger();
    private int connectionCount;
    private boolean retired;

    UpstreamEndpoint(ListedEndpoint listed, Shared shared) {
        super(
                "node-" + Long.toHexString(listed.info().id()),
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

    /** The node left the list: what is in hand may still be answered, then the actor ends. */
    void retire() {
        offerReserved(() -> {
            retired = true;
            idleConnections.forEach(UpstreamConnection::close);
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
        } else if (!connect(attempt)) {
            complete(attempt, UpstreamOutcome.of(AttemptResult.REJECTED));
        }
    }

    /** Begins a connection, for an attempt or, with null, for whichever waits when it is up; false without room. */
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

    /** Looked at in the last moment: what it waited for may have taken long. */
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

    /** Gives a connection the attempt that has waited longest for another one to come up; false where none may. */
    private boolean assignWaitingAttempt(UpstreamConnection connection) {
        for (UpstreamConnection pending : connecting) {
            if (pending.attempt != null && !pending.attempt.request().usedConnection(connection)) {
                assign(unassign(pending), connection);
                return true;
            }
        }
        return false;
    }

    /** Never one that carried an earlier try, nor one that has ended already, whose reader has yet to say so. */
    private UpstreamConnection takeIdleConnection(Attempt attempt) {
        for (Iterator<UpstreamConnection> from = idleConnections.descendingIterator(); from.hasNext(); ) {
            UpstreamConnection connection = from.next();
            if (connection.isUsable() && !attempt.request().usedConnection(connection)) {
                from.remove();
                return connection;
            }
        }
        return null;
    }

    /** Writes what the connection is to carry, unless that was given up meanwhile: a connection may come up late. */
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
            // Its line arrived, and part of its body may have: that does not prove that nothing ran.
            drop(connection, AttemptResult.CONNECTION_LOST);
        }
    }

    /**
     * The connection ended before a byte of the request was taken, which proves that it never ran. One that was unused
     * was closed by its node meanwhile, which says nothing of the node: the next is tried.
     */
    private void requestNotSent(UpstreamConnection connection) {
        Attempt attempt = unassign(connection);
        connection.close();
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
            // It goes on coming up, for the next one.
            completeUnsent(attempt);
            return;
        }
        // Closed behind the cancel: a machine that has fallen silent must not get the next request too.
        connection.cancel(attempt);
        complete(attempt, UpstreamOutcome.of(AttemptResult.CANCELLED));
    }

    /**
     * It was given up before a byte of it was written, which proves that it never ran. Where the client left there is
     * nothing to decide any more, and the node is not to blame.
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

    /** An answer to an attempt; false where nobody takes it, and its body stays with the reader. */
    boolean responseReceived(UpstreamConnection connection, Attempt attempt, UpstreamOutcome outcome) {
        return putAndRun(() -> {
            if (connection.attempt != attempt) {
                if (outcome.body() != null) {
                    outcome.body().release();
                }
                return;
            }
            unassign(connection);
            complete(attempt, outcome);
            release(connection);
        });
    }

    /** Something came that was not asked for. A request that is out still gets its answer, then the connection ends. */
    void unexpectedResponse(UpstreamConnection connection) {
        put(() -> {
            connection.desynchronized = true;
            if (connection.attempt == null && idleConnections.remove(connection)) {
                connection.close();
            }
        });
    }

    /** The connection has ended, and how; its room is free again. */
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
        connection.close();
        if (connection.attempt != null) {
            complete(unassign(connection), UpstreamOutcome.of(result));
        }
    }

    private void release(UpstreamConnection connection) {
        if (retired || connection.desynchronized) {
            connection.close();
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
            idleConnections.pollFirst().close();
        }
        checkConnecting(shared.clock().now());
        if (retired && connectionCount == 0) {
            stop();
        }
    }

    /**
     * At half of the time that an attempt may wait, a second connection is begun in case the first comes up late or
     * never; at its end the attempt is free to go elsewhere.
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
