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
    private static final int MAILBOX = 512;
    /** Attempts let in at once. Each may be called off once, and the mailbox's reserve has room for all of that. */
    private static final int MOST_TAKEN = 256;
    /** Connections to one node: above what its module's limit and a spell of slow answers put there. */
    private static final int MOST = 96;

    private static final long LOOK_US = 500_000;

    private final ListedEndpoint listed;
    private final Shared shared;
    private final Map<Attempt, UpstreamConnection> inHand = new HashMap<>();
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Connections that are coming up, the oldest first; each was begun for an attempt, which another may take over. */
    private final Set<UpstreamConnection> comingUp = new LinkedHashSet<>();

    private final AtomicInteger taken = new AtomicInteger();
    private int connections;
    private boolean retired;

    UpstreamEndpoint(ListedEndpoint listed, Shared shared) {
        super("node-" + Long.toHexString(listed.info().id()), MAILBOX, MOST_TAKEN + 1, shared.counters());
        this.listed = listed;
        this.shared = shared;
    }

    boolean isAt(ListedEndpoint other) {
        return listed.address() == other.address()
                && listed.port() == other.port()
                && listed.info().startedUs() == other.info().startedUs();
    }

    boolean send(Attempt attempt) {
        if (taken.incrementAndGet() > MOST_TAKEN || !offer(() -> sending(attempt))) {
            taken.decrementAndGet();
            return false;
        }
        return true;
    }

    void cancel(Attempt attempt) {
        offerReserved(() -> cancelling(attempt));
    }

    /** The node left the list: what is in hand may still be answered, then the actor ends. */
    void retire() {
        offerReserved(() -> {
            retired = true;
            idle.forEach(UpstreamConnection::close);
            idle.clear();
        });
    }

    private void sending(Attempt attempt) {
        if (!mayBegin(attempt)) {
            endUnwritten(attempt);
            return;
        }
        UpstreamConnection connection = idleFor(attempt);
        if (connection != null) {
            hand(attempt, connection);
            write(connection);
        } else if (!connect(attempt)) {
            end(attempt, UpstreamOutcome.of(AttemptResult.REJECTED));
        }
    }

    /** Begins a connection, for an attempt or, with null, for whichever waits when it is up; false without room. */
    private boolean connect(Attempt attempt) {
        if (connections >= MOST) {
            return false;
        }
        if (shared.room().getAndDecrement() <= 0) {
            shared.room().incrementAndGet();
            return false;
        }
        connections++;
        shared.counters().add(Counter.DIALS);
        UpstreamConnection connection = new UpstreamConnection(this, listed, shared);
        comingUp.add(connection);
        if (attempt != null) {
            hand(attempt, connection);
        }
        connection.start();
        return true;
    }

    /** Looked at in the last moment: what it waited for may have taken long. */
    private boolean mayBegin(Attempt attempt) {
        Set<Long> ready = shared.ready();
        return !retired
                && attempt.mayStart(shared.clock().now())
                && ready.contains(attempt.endpointId())
                && ready.contains(attempt.plan().fillSource());
    }

    private void hand(Attempt attempt, UpstreamConnection connection) {
        connection.attempt = attempt;
        inHand.put(attempt, connection);
    }

    /** Gives a connection the attempt that has waited longest for another one to come up; false where none may. */
    private boolean takesOver(UpstreamConnection connection) {
        for (UpstreamConnection late : comingUp) {
            if (late.attempt != null && !late.attempt.request().usedConnection(connection)) {
                hand(unhand(late), connection);
                return true;
            }
        }
        return false;
    }

    /** Never one that carried an earlier try, nor one that has ended already, whose reader has yet to say so. */
    private UpstreamConnection idleFor(Attempt attempt) {
        for (Iterator<UpstreamConnection> from = idle.descendingIterator(); from.hasNext(); ) {
            UpstreamConnection connection = from.next();
            if (connection.usable() && !attempt.request().usedConnection(connection)) {
                from.remove();
                return connection;
            }
        }
        return null;
    }

    /** Writes what the connection is to carry, unless that was given up meanwhile: a connection may come up late. */
    private void write(UpstreamConnection connection) {
        Attempt attempt = connection.attempt;
        if (!mayBegin(attempt)) {
            unhand(connection);
            endUnwritten(attempt);
            free(connection);
            return;
        }
        try {
            attempt.request().addConnection(connection);
            if (!connection.serve(attempt)) {
                nothingTaken(connection);
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
    private void nothingTaken(UpstreamConnection connection) {
        Attempt attempt = unhand(connection);
        connection.close();
        if (connection.wasIdle()) {
            sending(attempt);
        } else {
            end(attempt, UpstreamOutcome.of(AttemptResult.UNREACHABLE));
        }
    }

    private Attempt unhand(UpstreamConnection connection) {
        Attempt attempt = connection.attempt;
        connection.attempt = null;
        inHand.remove(attempt);
        return attempt;
    }

    private void cancelling(Attempt attempt) {
        UpstreamConnection connection = inHand.remove(attempt);
        if (connection == null) {
            return;
        }
        connection.attempt = null;
        if (comingUp.contains(connection)) {
            // It goes on coming up, for the next one.
            endUnwritten(attempt);
            return;
        }
        // Closed behind the cancel: a machine that has fallen silent must not get the next request too.
        connection.cancel(attempt);
        end(attempt, UpstreamOutcome.of(AttemptResult.CANCELLED));
    }

    /**
     * It was given up before a byte of it was written, which proves that it never ran. Where the client left there is
     * nothing to decide any more, and the node is not to blame.
     */
    private void endUnwritten(Attempt attempt) {
        end(
                attempt,
                UpstreamOutcome.of(
                        attempt.request().abandoned() ? AttemptResult.CANCELLED : AttemptResult.UNREACHABLE));
    }

    private void end(Attempt attempt, UpstreamOutcome outcome) {
        taken.decrementAndGet();
        shared.engine()[0].attemptEnded(attempt, outcome);
    }

    // ---------------------------------------------------------------- from the connections' readers

    void up(UpstreamConnection connection) {
        putAndRun(() -> {
            comingUp.remove(connection);
            if (connection.attempt != null) {
                write(connection);
            } else {
                free(connection);
            }
        });
    }

    /** An answer to an attempt; false where nobody takes it, and its body stays with the reader. */
    boolean answered(UpstreamConnection connection, Attempt attempt, UpstreamOutcome outcome) {
        return putAndRun(() -> {
            if (connection.attempt != attempt) {
                if (outcome.body() != null) {
                    outcome.body().release();
                }
                return;
            }
            unhand(connection);
            end(attempt, outcome);
            free(connection);
        });
    }

    /** Something came that was not asked for. A request that is out still gets its answer, then the connection ends. */
    void strayed(UpstreamConnection connection) {
        put(() -> {
            connection.outOfStep = true;
            if (connection.attempt == null && idle.remove(connection)) {
                connection.close();
            }
        });
    }

    /** The connection has ended, and how; its room is free again. */
    void down(UpstreamConnection connection, AttemptResult ended) {
        put(() -> {
            connections--;
            shared.room().incrementAndGet();
            idle.remove(connection);
            comingUp.remove(connection);
            drop(connection, ended);
        });
    }

    private void drop(UpstreamConnection connection, AttemptResult result) {
        connection.close();
        if (connection.attempt != null) {
            end(unhand(connection), UpstreamOutcome.of(result));
        }
    }

    private void free(UpstreamConnection connection) {
        if (retired || connection.outOfStep) {
            connection.close();
        } else if (!connection.closed() && takesOver(connection)) {
            write(connection);
        } else if (!connection.closed()) {
            connection.idleSince = System.nanoTime();
            idle.addLast(connection);
        }
    }

    @Override
    protected long untilDueWorkUs() {
        long wait = idle.isEmpty() ? Long.MAX_VALUE : LOOK_US;
        long now = shared.clock().now();
        for (UpstreamConnection late : comingUp) {
            wait = Math.min(wait, Math.max(0, late.attendAt() - now));
        }
        return wait == Long.MAX_VALUE ? -1 : wait;
    }

    @Override
    protected void runDueWork() {
        long keepNs = shared.keeping().ns(shared.room().get());
        while (!idle.isEmpty() && System.nanoTime() - idle.peekFirst().idleSince > keepNs) {
            idle.pollFirst().close();
        }
        attendLate(shared.clock().now());
        if (retired && connections == 0) {
            stop();
        }
    }

    /**
     * At half of the time that an attempt may wait, a second connection is begun in case the first comes up late or
     * never; at its end the attempt is free to go elsewhere.
     */
    private void attendLate(long now) {
        for (UpstreamConnection late : List.copyOf(comingUp)) {
            if (now < late.attendAt()) {
                continue;
            }
            if (now >= late.attempt.startByUs()) {
                endUnwritten(unhand(late));
            } else {
                late.backedUp = true;
                connect(null);
            }
        }
    }
}
