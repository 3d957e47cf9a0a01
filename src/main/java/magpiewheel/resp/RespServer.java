package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
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
            BufferPool requestPool,
            Counters counters,
            UnixClock clock,
            List<String> classes,
            List<Long> deadlinesUs,
            BooleanSupplier ready,
            WorkerPool workers,
            ClientPoller poller,
            ServiceStats stats,
            ConnectionDrain drain,
            FairShare fairShare,
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
    /** ns; all connections that were in the listen queue are accepted within this time. */
    private static final long MAX_QUEUED_ACCEPT_NS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Divides the maximum number of clients: with fewer free places than this share, unused connections are closed. */
    private static final int FREE_PLACES_DIVISOR = 8;
    /**
     * Divides the maximum number of clients: this share of further connections may be half-closed and not yet closed by
     * their clients.
     */
    private static final int HALF_CLOSED_DIVISOR = 16;

    /**
     * Divides the maximum number of clients: with more unfinished requests and responses than this share, newcomers do
     * not displace usual clients.
     */
    private static final int UNFINISHED_DIVISOR = 8;

    /** ns per byte; how slowly a client may read that keeps a terminating process. */
    private static final long LONGEST_READ_NS_PER_BYTE = 4 * ResponseWriter.READ_NS_PER_BYTE;

    private final Shared shared;
    private final int maxClients;
    private final long roomWaitMs;
    private volatile ListeningSocket listener;
    private volatile Thread acceptor;
    private volatile boolean closed;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final Object placeFreed = new Object();

    /**
     * Creates a server for at most {@code maxClients} connections, which share the requests that {@code fairShare} lets
     * be open; {@code ready} says whether the router is ready for clients, {@code hintsEnabled} whether read hints are
     * evaluated.
     */
    public RespServer(
            int maxClients,
            FairShare fairShare,
            Engine engine,
            BufferPool requestPool,
            Counters counters,
            UnixClock clock,
            List<String> classes,
            List<Long> deadlinesUs,
            BooleanSupplier ready,
            WorkerPool workers,
            ClientPoller poller,
            ServiceStats stats,
            ResponseListener responseListener,
            boolean hintsEnabled) {
        ConnectionDrain drain = new ConnectionDrain(ShutdownSchedule.of(deadlinesUs));
        this.shared = new Shared(
                engine,
                requestPool,
                counters,
                clock,
                classes,
                deadlinesUs,
                () -> ready.getAsBoolean() && !drain.draining(),
                workers,
                poller,
                stats,
                drain,
                fairShare,
                responseListener,
                hintsEnabled);
        this.maxClients = maxClients;
        this.roomWaitMs = roomWaitMs(deadlinesUs);
        requestPool.setShortageListener(this::reclaimRequestBuffers);
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

    /**
     * Request buffers are short: closes the client that has taken longest over a request with a body, unless all are
     * recent.
     */
    void reclaimRequestBuffers() {
        long now = System.nanoTime();
        clients.stream()
                .filter(client -> client.usage().requestBuffers() > 0)
                .filter(client -> now - client.usage().requestStartedAt() > ClientReader.RECENT_INPUT_NS)
                .max(Comparator.comparingLong(client -> now - client.usage().requestStartedAt()))
                .ifPresent(client -> client.close(CloseReason.REQUEST_BUFFERS_SHORT));
    }

    /** Response buffers are short: closes the client that holds most of them and does not read, if there is one. */
    public void reclaimResponseBuffers() {
        long now = System.nanoTime();
        record Holder(ClientConnection client, int buffers) {}
        clients.stream()
                .map(client -> new Holder(client, client.usage().stalledResponseBuffers(now)))
                .filter(holder -> holder.buffers() > 0)
                .max(Comparator.comparingInt(Holder::buffers))
                .ifPresent(holder -> holder.client().close(CloseReason.RESPONSE_BUFFERS_SHORT));
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

    /**
     * Closes each connection whose client does not read responses that wait for it, and returns whether any is left;
     * for the end of the process, when every request is answered.
     */
    public boolean closeAllButReaders() {
        long now = System.nanoTime();
        boolean anyReads = false;
        for (ClientConnection client : clients) {
            if (client.usage().readsResponses(now)) {
                anyReads = true;
            } else {
                client.close(CloseReason.SHUTDOWN_DEADLINE);
            }
        }
        return anyReads;
    }

    /**
     * Returns the time (ms) in which every client can read the responses that wait for it, also one that reads at a
     * quarter of the rate of slow clients.
     */
    public long longestReadMs() {
        long mostBytes = clients.stream()
                .mapToLong(client -> client.usage().unwrittenBytes())
                .max()
                .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(
                ConnectionActivity.MAX_READ_PAUSE_NS + mostBytes * LONGEST_READ_NS_PER_BYTE);
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
    public void serve(ClientTransport transport) {
        shared.counters().add(Counter.CLIENTS);
        ClientConnection client = new ClientConnection(transport, shared, this::onClosed);
        clients.add(client);
        try {
            client.begin();
        } catch (IOException e) {
            // The connection was reset before it started.
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

    private void admit(SocketChannel socket) throws IOException {
        if (makeRoom()) {
            serve(new SocketTransport(socket));
        } else {
            shared.counters().add(Counter.CLIENTS_TURNED_AWAY);
            EventLog.log(
                    EventLog.Event.CLIENT_CLOSED,
                    "client=" + socket.getRemoteAddress() + " reason=no-place " + describe());
            socket.close();
        }
    }

    /**
     * Accepts the connections left in the listen queue: the operating system has accepted them already, and closing the
     * socket would reset them. Not for long: a crowd that connects again and again would keep the listener open.
     */
    private void acceptQueued() {
        long startNs = System.nanoTime();
        try {
            while (System.nanoTime() - startNs < MAX_QUEUED_ACCEPT_NS) {
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

    /** Closes expired connections and, with few places left, unused ones, so that newcomers need not wait. */
    private void sweep(long now) {
        clients.forEach(client -> client.sweep(now));
        if (shared.drain().closesIdle()) {
            clients.forEach(ClientConnection::drainIfUnused);
        }
        int excess = clients.size() - (maxClients - maxClients / FREE_PLACES_DIVISOR);
        if (excess <= 0) {
            return;
        }
        long lowest = lowestEvictableRank();
        List<ClientConnection> unused = byDescendingRank(
                clients.stream()
                        .filter(client ->
                                client.usage().evictable(now) && client.usage().evictionRank(now) >= lowest)
                        .toList(),
                client -> client.usage().evictionRank(now));
        for (ClientConnection client : unused.subList(0, Math.min(excess, unused.size()))) {
            if (client.evict()) {
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
                awaitClosed(POLL_MS);
            }
        }
        while (clients.size() >= descriptors(maxClients)) {
            expireLongestHalfClosed();
            awaitClosed(POLL_MS);
        }
        return true;
    }

    private void onClosed(ClientConnection client) {
        synchronized (placeFreed) {
            clients.remove(client);
            placeFreed.notifyAll();
        }
    }

    /** Waits until a connection is closed, for so many ms at most. */
    private void awaitClosed(long ms) {
        synchronized (placeFreed) {
            try {
                placeFreed.wait(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private boolean full() {
        return clients.size() >= maxClients
                && clients.stream().filter(client -> !client.halfClosed()).count() >= maxClients;
    }

    /** Ends the connection that was half-closed first: their number is limited because each holds a descriptor. */
    private void expireLongestHalfClosed() {
        clients.stream()
                .filter(ClientConnection::halfClosed)
                .min(Comparator.comparingLong(client -> client.usage().halfClosedAt()))
                .ifPresent(ClientConnection::expire);
    }

    private void drainClients() {
        while (hasClients()) {
            sweepGuarded(System.nanoTime());
            Pause.ms(POLL_MS);
        }
    }

    /** Returns the connection to evict, or null if there is none. */
    private ClientConnection evictionCandidate() {
        long now = System.nanoTime();
        ClientConnection best = null;
        long highest = lowestEvictableRank() - 1;
        for (ClientConnection client : clients) {
            long rank = client.usage().evictionRank(now);
            if (rank > highest) {
                highest = rank;
                best = client;
            }
        }
        return best;
    }

    /**
     * Returns the lowest rank of a connection that may be evicted. A usual client loses its place only while few places
     * are held by clients that are in the middle of a request or do not read.
     */
    private long lowestEvictableRank() {
        long unfinished =
                clients.stream().filter(client -> client.usage().unfinished()).count();
        return unfinished > maxClients / UNFINISHED_DIVISOR ? ConnectionActivity.LOWEST_UNFINISHED_RANK : 1;
    }
}
