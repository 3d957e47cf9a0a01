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
            BooleanSupplier up,
            WorkerPool crew,
            ServiceStats figures,
            ConnectionDrain leave,
            ResponseListener watch,
            boolean hints) {}

    private static final int SWEEP_MS = 50;
    /** ms; how long a newcomer waits for a place before it is turned away, and between two looks. */
    private static final int PLACE_MS = 300;

    private static final int LOOK_MS = 5;
    /** ms; who waits in the listener's queue is there at once, on a busy machine a moment later. */
    private static final int LAST_MS = 20;
    /** A part of all places: so many connections may stay that nobody uses. */
    private static final int UNUSED_PART = 6;
    /** A part of all places: so many connections more may be ended on this side and not yet closed by their clients. */
    private static final int ENDED_PART = 16;

    private final Shared shared;
    private final int most;
    private volatile ListeningSocket entrance;
    private volatile Thread acceptor;
    private volatile boolean closed;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();

    /**
     * With so many places; {@code up} says whether the front is ready for clients, {@code hints} whether it heeds them.
     */
    public RespServer(
            int most,
            Engine engine,
            BufferPool pool,
            Counters counters,
            UnixClock clock,
            List<String> classes,
            List<Long> deadlinesUs,
            BooleanSupplier up,
            WorkerPool crew,
            ServiceStats figures,
            ResponseListener watch,
            boolean hints) {
        ConnectionDrain leave = new ConnectionDrain();
        this.shared = new Shared(
                engine,
                pool,
                counters,
                clock,
                classes,
                deadlinesUs,
                () -> up.getAsBoolean() && !leave.asked(),
                crew,
                figures,
                leave,
                watch,
                hints);
        this.most = most;
    }

    /** The most descriptors that clients take, for so many places. */
    public static int descriptors(int places) {
        return places + places / ENDED_PART;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return entrance.address();
    }

    /** Starts to let clients in. */
    public void start(ListeningSocket from) {
        entrance = from;
        acceptor = Actor.daemonThread("accept", this::accept);
        acceptor.start();
    }

    /** Whether any client is owed an answer or is being sent one or, where others take the clients, has yet to go. */
    public boolean busy() {
        return handedOn() && hasClients()
                || clients.stream().anyMatch(client -> client.busy() || !client.drained(System.nanoTime()));
    }

    /** Whether any client has yet to go, or may still be on its way in. */
    public boolean hasClients() {
        // In this order: whom it lets in last is there to be found.
        Thread accepts = acceptor;
        return accepts != null && accepts.isAlive() || !clients.isEmpty();
    }

    /** Whether clients find another process by the same entrance. */
    public boolean handedOn() {
        ListeningSocket from = entrance;
        return from != null && from.handedOn();
    }

    /** The process is about to end: what is taken from now on gets no more time than it has left. */
    public void answerWithin(long us) {
        shared.leave().answerBy(shared.clock().now() + us);
        clients.forEach(ClientConnection::hearOfTheEnd);
    }

    /**
     * The process ends, perhaps before it began: takes no further connections, and leave of each that is open once
     * nothing is open on it.
     */
    public void close() {
        boolean first = !closed;
        closed = true;
        if (first) {
            shared.leave().beginLast(!handedOn());
            Actor.daemonThread("leave", this::takeLeave).start();
        }
    }

    /** Sends clients away: it says that it is down, and takes leave of each connection when nothing is open on it. */
    public void quiesce() {
        shared.leave().begin();
    }

    /** Takes clients again. */
    public void resume() {
        shared.leave().end();
    }

    /** Requests taken and not yet ended. */
    public int inFlight() {
        return clients.stream().mapToInt(ClientConnection::open).sum();
    }

    /** Serves a connection that was made. */
    public void take(Socket socket) {
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
                letIn(entrance.accept(SWEEP_MS));
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
        if (!entrance.handedOn()) {
            letInTheLast();
        }
        try {
            entrance.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void letIn(Socket socket) throws IOException {
        if (place()) {
            take(socket);
        } else {
            shared.counters().add(Counter.CLIENTS_TURNED_AWAY);
            socket.close();
        }
    }

    /** The machine has accepted those who still wait in the listener's queue: closed with it, they would be reset. */
    private void letInTheLast() {
        try {
            while (true) {
                letIn(entrance.accept(LAST_MS));
            }
        } catch (IOException e) {
            // Nobody waits any more.
        }
    }

    /** Every connection costs a thread: of those without work only so many are kept that were not used lately. */
    private void sweep(long now) {
        clients.forEach(client -> client.sweep(now));
        if (shared.leave().closes()) {
            clients.forEach(ClientConnection::takeLeave);
        }
        boolean crowded = clients.size() > most / 2;
        List<ClientConnection> unused = clients.stream()
                .filter(client -> client.unused(now, crowded))
                .sorted(Comparator.comparingLong((ClientConnection client) -> client.spare(now))
                        .reversed())
                .toList();
        for (int i = 0; i < unused.size() - most / UNUSED_PART; i++) {
            if (unused.get(i).closeUnused()) {
                shared.counters().add(Counter.CLIENTS_MADE_ROOM);
            }
        }
    }

    /**
     * Whether there is a place for a newcomer. In a full front the silent clients go first, then those that have been
     * idle for longest; never one with work open. Others that come meanwhile wait in the listener's queue.
     */
    private boolean place() {
        for (int waited = 0; full(); waited += LOOK_MS) {
            ClientConnection spare = sparest();
            if (spare != null && spare.closeUnused()) {
                shared.counters().add(Counter.CLIENTS_MADE_ROOM);
            } else if (waited >= PLACE_MS) {
                return false;
            } else {
                pause();
            }
        }
        while (clients.size() >= descriptors(most)) {
            closeLongestEnded();
        }
        return true;
    }

    private boolean full() {
        return clients.size() >= most
                && clients.stream().filter(client -> !client.ended()).count() >= most;
    }

    /** Of those that were ended and have yet to go there are only so many: each holds a descriptor. */
    private void closeLongestEnded() {
        clients.stream()
                .filter(ClientConnection::ended)
                .min(Comparator.comparingLong(ClientConnection::endedAt))
                .ifPresent(client -> {
                    client.endReading();
                    clients.remove(client);
                });
    }

    private void takeLeave() {
        while (hasClients()) {
            sweep(System.nanoTime());
            pause();
        }
    }

    private ClientConnection sparest() {
        long now = System.nanoTime();
        ClientConnection best = null;
        long most = 0;
        for (ClientConnection client : clients) {
            long spare = client.spare(now);
            if (spare > most) {
                most = spare;
                best = client;
            }
        }
        return best;
    }

    private static void pause() {
        try {
            Thread.sleep(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
