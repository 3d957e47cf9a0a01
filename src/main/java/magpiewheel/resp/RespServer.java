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
import magpiewheel.engine.Actor;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.ServiceStats;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;

/** The platform's front: accepts clients, each of which gets an actor. */
public final class RespServer {
    /** What the clients' actors share. */
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
    /** ms; how long a newcomer waits for a place before it is turned away, and between two looks. */
    private static final int MAX_ROOM_WAIT_MS = 300;

    private static final int POLL_MS = 5;
    /** ms; who waits in the listener's queue is there at once, on a busy machine a moment later. */
    private static final int QUEUED_ACCEPT_MS = 20;
    /** A part of all places: so many connections may stay that nobody uses. */
    private static final int UNUSED_DIVISOR = 6;
    /** A part of all places: so many connections more may be ended on this side and not yet closed by their clients. */
    private static final int HALF_CLOSED_DIVISOR = 16;

    private final Shared shared;
    private final int maxClients;
    private volatile ListeningSocket listener;
    private volatile Thread acceptor;
    private volatile boolean closed;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();

    /**
     * With so many places; {@code up} says whether the front is ready for clients, {@code hints} whether it heeds them.
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
        ConnectionDrain drain = new ConnectionDrain();
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
    }

    /** The most descriptors that clients take, for so many places. */
    public static int descriptors(int places) {
        return places + places / HALF_CLOSED_DIVISOR;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Starts to let clients in. */
    public void start(ListeningSocket socket) {
        listener = socket;
        acceptor = Actor.daemonThread("accept", this::accept);
        acceptor.start();
    }

    /** Whether any client is owed an answer or is being sent one or, where others take the clients, has yet to go. */
    public boolean busy() {
        return isShared() && hasClients()
                || clients.stream().anyMatch(client -> client.busy() || !client.allRead(System.nanoTime()));
    }

    /** Whether any client has yet to go, or may still be on its way in. */
    public boolean hasClients() {
        // In this order: whom it lets in last is there to be found.
        Thread accepts = acceptor;
        return accepts != null && accepts.isAlive() || !clients.isEmpty();
    }

    /** Whether clients find another process by the same entrance. */
    public boolean isShared() {
        ListeningSocket socket = listener;
        return socket != null && socket.isShared();
    }

    /** The process is about to end: what is taken from now on gets no more time than it has left. */
    public void answerWithin(long us) {
        shared.drain().answerBy(shared.clock().now() + us);
        clients.forEach(ClientConnection::wakeForShutdown);
    }

    /**
     * The process ends, perhaps before it began: takes no further connections, and leave of each that is open once
     * nothing is open on it.
     */
    public void close() {
        boolean first = !closed;
        closed = true;
        if (first) {
            shared.drain().beginShutdown(!isShared());
            Actor.daemonThread("leave", this::drainClients).start();
        }
    }

    /** Sends clients away: it says that it is down, and takes leave of each connection when nothing is open on it. */
    public void quiesce() {
        shared.drain().begin();
    }

    /** Takes clients again. */
    public void resume() {
        shared.drain().end();
    }

    /** Requests taken and not yet ended. */
    public int inFlight() {
        return clients.stream().mapToInt(ClientConnection::openRequests).sum();
    }

    /** Serves a connection that was made. */
    public void serve(Socket socket) {
        shared.counters().add(Counter.CLIENTS);
        ClientConnection client = new ClientConnection(socket, shared, clients::remove);
        clients.add(client);
        try {
            client.begin();
        } catch (IOException e) {
            // Reset before it began: it has no reader that would give its place back.
            clients.remove(client);
            client.close();
        }
    }

    private void accept() {
        long swept = System.nanoTime();
        while (!closed) {
            try {
                admit(listener.accept(SWEEP_MS));
            } catch (SocketTimeoutException e) {
                // Time to look at the others.
            } catch (IOException e) {
                // Without descriptors accept fails at once, again and again.
                pause();
            }
            long now = System.nanoTime();
            if (now - swept > TimeUnit.MILLISECONDS.toNanos(SWEEP_MS)) {
                swept = now;
                sweep(now);
            }
        }
        if (!listener.isShared()) {
            acceptQueued();
        }
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void admit(Socket socket) throws IOException {
        if (makeRoom()) {
            serve(socket);
        } else {
            shared.counters().add(Counter.CLIENTS_TURNED_AWAY);
            socket.close();
        }
    }

    /** The machine has accepted those who still wait in the listener's queue: closed with it, they would be reset. */
    private void acceptQueued() {
        try {
            while (true) {
                admit(listener.accept(QUEUED_ACCEPT_MS));
            }
        } catch (IOException e) {
            // Nobody waits any more.
        }
    }

    /** Every connection costs a thread: of those without work only so many are kept that were not used lately. */
    private void sweep(long now) {
        clients.forEach(client -> client.sweep(now));
        if (shared.drain().closesIdle()) {
            clients.forEach(ClientConnection::drainIfUnused);
        }
        boolean crowded = clients.size() > maxClients / 2;
        List<ClientConnection> unused = clients.stream()
                .filter(client -> client.evictable(now, crowded))
                .sorted(Comparator.comparingLong((ClientConnection client) -> client.evictionRank(now))
                        .reversed())
                .toList();
        for (int i = 0; i < unused.size() - maxClients / UNUSED_DIVISOR; i++) {
            if (unused.get(i).evict()) {
                shared.counters().add(Counter.CLIENTS_MADE_ROOM);
            }
        }
    }

    /**
     * Whether there is a place for a newcomer. In a full front the silent clients go first, then those that have been
     * idle for longest; never one with work open. Others that come meanwhile wait in the listener's queue.
     */
    private boolean makeRoom() {
        for (int waited = 0; full(); waited += POLL_MS) {
            ClientConnection candidate = evictionCandidate();
            if (candidate != null && candidate.evict()) {
                shared.counters().add(Counter.CLIENTS_MADE_ROOM);
            } else if (waited >= MAX_ROOM_WAIT_MS) {
                return false;
            } else {
                pause();
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

    /** Of those that were ended and have yet to go there are only so many: each holds a descriptor. */
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
            sweep(System.nanoTime());
            pause();
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

    private static void pause() {
        try {
            Thread.sleep(POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
