package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import magpiewheel.core.Actor;
import magpiewheel.core.BufferPool;
import magpiewheel.core.Counter;
import magpiewheel.core.Counters;
import magpiewheel.core.Engine;
import magpiewheel.core.UnixClock;

/** The platform's front: accepts clients, each of which gets an actor. */
public final class RespFront {
    /** What the clients' actors share. */
    record Shared(Engine engine, BufferPool pool, Counters counters, UnixClock clock, List<String> classes,
            List<Long> deadlinesUs, BooleanSupplier up) { }

    private static final int BACKLOG = 512;
    private static final int SWEEP_MS = 500;
    private final Shared shared;
    private final int most;
    private final ServerSocket listener;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();

    /** Listens on the address; {@code up} says whether the front is ready for clients. */
    public RespFront(InetSocketAddress listen, int most, Engine engine, BufferPool pool, Counters counters,
            UnixClock clock, List<String> classes, List<Long> deadlinesUs, BooleanSupplier up) throws IOException {
        this.shared = new Shared(engine, pool, counters, clock, classes, deadlinesUs, up);
        this.most = most;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(listen, BACKLOG);
        listener.setSoTimeout(SWEEP_MS);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Starts to accept. */
    public void start() {
        Actor.thread("accept", this::accept).start();
    }

    /** Whether any client is owed an answer or is being sent one. */
    public boolean busy() {
        return clients.stream().anyMatch(ClientConnection::busy);
    }

    /** Takes no further connections; those that are open go on. */
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                if (clients.size() >= most) {
                    shared.counters().add(Counter.CLIENTS_TURNED_AWAY);
                    socket.close();
                    continue;
                }
                shared.counters().add(Counter.CLIENTS);
                ClientConnection client = new ClientConnection(socket, shared, clients::remove);
                clients.add(client);
                client.begin();
            } catch (SocketTimeoutException e) {
                // Time to look at the others.
            } catch (IOException e) {
                pause();
            }
            clients.forEach(ClientConnection::sweep);
        }
    }

    /** Without descriptors accept fails at once, again and again. */
    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
