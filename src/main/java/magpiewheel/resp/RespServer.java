package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import magpiewheel.engine.Actor;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Pause;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.ServiceStats;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;

/** Accepts client connections and runs an actor for each of them. */
public final class RespServer {
    /** What the actors of all client connections share. */
    record Shared(
            Engine engine,
            BufferPool pool,
            Counters counters,
            UnixClock clock,
            List<String> classes,
            List<Long> deadlinesUs,
            BooleanSupplier ready,
            WorkerPool workers,
            ServiceStats stats,
            ConnectionDrain drain,
            ResponseListener responseListener,
            boolean hintsEnabled) {}

    private static final int SWEEP_MS = 50;
    /** ms; the longest wait of a new connection for a free place, and the interval of the checks. */
    private static final long MAX_ROOM_WAIT_MS = 300;
    /** Divides the shortest deadline: those who wait behind a new connection must not be late because of it. */
    private static final int ROOM_WAIT_DIVISOR = 4;

    private static final int POLL_MS = 5;
    /**
     * ms; accept time-out for connections left in the listen queue: they are available at once, on a busy machine a
     * moment later.
     */
    private static final int QUEUED_ACCEPT_MS = 20;
    /** Divides the maximum number of clients: this share of unused connections is kept open. */
    private static final int UNUSED_DIVISOR = 6;
    /**
     * Divides the maximum number of clients: this share of further connections may be half-closed and not yet closed by
     * their clients.
     */
    private static final int HALF_CLOSED_DIVISOR = 16;

    private final Shared shared;
    private final int maxClients;
    private final long roomWaitMs;
    private volatile ListeningSocket listener;
    private volatile Thread acceptor;
    private volatile boolean closed;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();

    /**
     * Creates a server for at most {@code maxClients} connections; {@code ready} says whether the router is ready for
     * clients, {@code hintsEnabled} whether read hints are evaluated.
     */
    public RespServer(
            int maxClients,
            Engine engine,
            BufferPool pool,
            Counters counters,
            UnixClock clock,
            List<String> classes,
            List<Long> deadlinesUs,
            BooleanSupplier ready,
            WorkerPool workers,
            ServiceStats stats,
            ResponseListener responseListener,
            boolean hintsEnabled) {
        ConnectionDrain drain = new ConnectionDrain(ShutdownSchedule.of(deadlinesUs));
        this.shared = new Shared(
                engine,
                pool,
                counters,
                clock,
                classes,
                deadlinesUs,
                () -> ready.getAsBoolean() && !drain.draining(),
                workers,
                stats,
                drain,
                responseListener,
                hintsEnabled);
        this.maxClients = maxClients;
        this.roomWaitMs = roomWaitMs(deadlinesUs);
    }

    /** Returns how long a new connection waits for a free place (ms), given the deadlines of all classes (us). */
    static long roomWaitMs(List<Long> deadlinesUs) {
        long shortestUs = deadlinesUs.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
        return Math.min(MAX_ROOM_WAIT_MS, TimeUnit.MICROSECONDS.toMillis(shortestUs) / ROOM_WAIT_DIVISOR);
    }

    /** Returns the maximum number of descriptors that clients use, for the given maximum number of clients. */
    public static int descriptors(int places) {
        return places + places / HALF_CLOSED_DIVISOR;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Starts accepting clients. */
    public void start(ListeningSocket socket) {
        listener = socket;
        acceptor = Actor.daemonThread("accept", this::accept);
        acceptor.start();
    }

    /** Whether any client is still connected or may still be accepted. */
    public boolean hasClients() {
        // The acceptor is checked first: a client that it accepts last is then found in the set.
        Thread accepts = acceptor;
        return accepts != null && accepts.isAlive() || !clients.isEmpty();
    }

    /** Whether other processes accept clients on the same socket. */
    public boolean isShared() {
        ListeningSocket socket = listener;
        return socket != null && socket.isShared();
    }

    /** Returns when a terminating process does what. */
    public ShutdownSchedule shutdownSchedule() {
        return shared.drain().schedule();
    }

    /** The process was told to end: from now on the times of the {@link #shutdownSchedule} count. */
    public void beginShutdown() {
        shared.drain().beginShutdown(shared.clock().now());
        clients.forEach(ClientConnection::wakeForShutdown);
    }

    /**
     * Stops accepting connections and closes each open one once no request is open on it. May be called before
     * {@link #start}.
     */
    public void close() {
        boolean first = !closed;
        closed = true;
        if (first) {
            shared.drain().closeConnections(!isShared());
            Actor.daemonThread("leave", this::drainClients).start();
        }
    }

    /** Starts a drain: status queries answer DOWN, and each connection is closed once no request is open on it. */
    public void quiesce() {
        EventLog.log(EventLog.Event.STATE, "drain=begun by=operator " + describe());
        shared.drain().begin();
    }

    /** Ends a drain started by {@link #quiesce}. */
    public void resume() {
        EventLog.log(EventLog.Event.STATE, "drain=ended by=operator " + describe());
        shared.drain().end();
    }

    /** Returns the number of requests accepted and not finished. */
    public int inFlight() {
        return clients.stream().mapToInt(ClientConnection::openRequests).sum();
    }

    /** Closes all connections at once; for the end of the process, when every request is answered. */
    public void disconnectClients() {
        clients.forEach(client -> client.close(CloseReason.SHUTDOWN_DEADLINE));
    }

    /** Returns the number of clients and of their open requests, for the log. */
    public String describe() {
        return "clients=" + clients.size() + " open=" + inFlight();
    }

    /** Serves an established connection. */
    public void serve(Socket socket) {
        shared.counters().add(Counter.CLIENTS);
        ClientConnection client = new ClientConnection(socket, shared, clients::remove);
        clients.add(client);
        try {
            client.begin();
        } catch (IOException e) {
            // The connection was reset before it started: no reader thread will remove it from the set.
            clients.remove(client);
            client.close(CloseReason.CLIENT);
        }
    }

    private void accept() {
        long swept = System.nanoTime();
        while (!closed) {
            try {
                admit(listener.accept(SWEEP_MS));
            } catch (SocketTimeoutException e) {
                // No new connection; go on to the sweep.
            } catch (IOException e) {
                EventLog.log(EventLog.Event.SYSTEM_CALL_FAILED, "call=accept reason=" + e);
                // If descriptors are exhausted, accept fails at once, so wait before the next attempt.
                Pause.ms(POLL_MS);
            }
            long now = System.nanoTime();
            if (now - swept > TimeUnit.MILLISECONDS.toNanos(SWEEP_MS)) {
                swept = now;
                sweepGuarded(now);
            }
        }
        if (!listener.isShared()) {
            acceptQueued();
        }
        EventLog.log(EventLog.Event.STATE, "accepting=ended " + describe());
        try {
            listener.close();
        } catch (IOException e) {
            // Nothing more can be done: the socket is closed.
        }
    }

    private void admit(Socket socket) throws IOException {
        if (makeRoom()) {
            serve(socket);
        } else {
            shared.counters().add(Counter.CLIENTS_TURNED_AWAY);
            EventLog.log(
                    EventLog.Event.CLIENT_CLOSED,
                    "client=" + socket.getRemoteSocketAddress() + " reason=no-place " + describe());
            socket.close();
        }
    }

    /**
     * Accepts the connections left in the listen queue: the operating system has accepted them already, and closing the
     * socket would reset them.
     */
    private void acceptQueued() {
        try {
            while (true) {
                admit(listener.accept(QUEUED_ACCEPT_MS));
            }
        } catch (IOException e) {
            // The listen queue is empty.
        }
    }

    /** Sweeps, and logs a fault: no fault of one connection may end the thread that accepts all others. */
    private void sweepGuarded(long now) {
        try {
            sweep(now);
        } catch (RuntimeException e) {
            shared.counters().add(Counter.FAULTS);
            EventLog.log(EventLog.Event.STATE, "sweep=failed reason=" + e);
        }
    }

    /** Closes expired connections. Each connection costs a thread, so only a limited number of unused ones is kept. */
    private void sweep(long now) {
        clients.forEach(client -> client.sweep(now));
        if (shared.drain().closesIdle()) {
            clients.forEach(ClientConnection::drainIfUnused);
        }
        boolean crowded = clients.size() > maxClients / 2;
        List<ClientConnection> unused = byDescendingRank(
                clients.stream()
                        .filter(client -> client.evictable(now, crowded))
                        .toList(),
                client -> client.evictionRank(now));
        for (int i = 0; i < unused.size() - maxClients / UNUSED_DIVISOR; i++) {
            if (unused.get(i).evict()) {
                shared.counters().add(Counter.CLIENTS_MADE_ROOM);
            }
        }
    }

    /**
     * Returns the items with the highest rank first. Each rank is read once: those of connections change while they are
     * sorted.
     */
    static <T> List<T> byDescendingRank(List<T> items, ToLongFunction<T> rank) {
        record Ranked<T>(T item, long rank) {}
        return items.stream()
                .map(item -> new Ranked<>(item, rank.applyAsLong(item)))
                .sorted(Comparator.comparingLong((Ranked<T> ranked) -> ranked.rank())
                        .reversed())
                .map(Ranked::item)
                .toList();
    }

    /**
     * Makes room for a new connection; returns false if there is none within the time limit. When the server is full,
     * clients without a complete request are evicted first, then those idle for longest; never one with an open
     * request. Further connections wait in the listen queue meanwhile.
     */
    private boolean makeRoom() {
        for (int waited = 0; full(); waited += POLL_MS) {
            ClientConnection candidate = evictionCandidate();
            if (candidate != null && candidate.evict()) {
                shared.counters().add(Counter.CLIENTS_MADE_ROOM);
            } else if (waited >= roomWaitMs) {
                return false;
            } else {
                Pause.ms(POLL_MS);
            }
        }
        while (clients.size() >= descriptors(maxClients)) {
            closeLongestHalfClosed();
        }
        return true;
    }

    private boolean full() {
        return clients.size() >= maxClients
                && clients.stream().filter(client -> !client.halfClosed()).count() >= maxClients;
    }

    /** Closes the connection that was half-closed first: their number is limited because each holds a descriptor. */
    private void closeLongestHalfClosed() {
        clients.stream()
                .filter(ClientConnection::halfClosed)
                .min(Comparator.comparingLong(ClientConnection::halfClosedAt))
                .ifPresent(client -> {
                    client.shutdownInput();
                    clients.remove(client);
                });
    }

    private void drainClients() {
        while (hasClients()) {
            sweepGuarded(System.nanoTime());
            Pause.ms(POLL_MS);
        }
    }

    private ClientConnection evictionCandidate() {
        long now = System.nanoTime();
        ClientConnection best = null;
        long highest = 0;
        for (ClientConnection client : clients) {
            long rank = client.evictionRank(now);
            if (rank > highest) {
                highest = rank;
                best = client;
            }
        }
        return best;
    }
}
