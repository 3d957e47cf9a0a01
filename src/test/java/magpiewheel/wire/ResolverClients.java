package magpiewheel.wire;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Resolvers that ask one name server again and again: over UDP, over a TCP connection for each query, and over one that
 * they keep. A query whose TCP connection ends with no answer is asked again once, as resolvers do (RFC 7766, 6.2.4).
 */
final class ResolverClients implements AutoCloseable {
    private static final int WAIT_MS = 2_000;
    private static final long PACE_MS = 2;

    private interface Query {
        Lookup.Reply ask() throws IOException;
    }

    private final InetSocketAddress server;
    private final String name;
    private final Set<String> expected;
    private final List<String> wrong = new CopyOnWriteArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger repeated = new AtomicInteger();
    private final List<Thread> threads;
    private volatile boolean closed;
    private Socket kept;

    /** Starts to ask; each answer must name just these addresses. */
    ResolverClients(InetSocketAddress server, String name, Set<String> expected) {
        this.server = server;
        this.name = name;
        this.expected = expected;
        threads = List.of(
                start("udp", () -> Lookup.ask(server, Lookup.query(name, 1, true), WAIT_MS)),
                start("tcp", () -> repeatedOnce(this::askOnNewConnection)),
                start("kept tcp", () -> repeatedOnce(this::askOnKeptConnection)));
    }

    private Thread start(String how, Query query) {
        Thread thread = new Thread(() -> {
            while (!closed) {
                askOne(how, query);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void askOne(String how, Query query) {
        try {
            Lookup.Reply reply = query.ask();
            answered.incrementAndGet();
            if (reply.rcode() != 0 || !Set.copyOf(reply.addresses()).equals(expected)) {
                wrong.add(how + ": " + reply);
            }
            Thread.sleep(PACE_MS);
        } catch (IOException e) {
            wrong.add(how + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Lookup.Reply repeatedOnce(Query query) throws IOException {
        try {
            return query.ask();
        } catch (EOFException | SocketException e) {
            repeated.incrementAndGet();
            return query.ask();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(WAIT_MS);
        socket.connect(server, WAIT_MS);
        return socket;
    }

    private Lookup.Reply askOnNewConnection() throws IOException {
        try (Socket socket = connect()) {
            return ask(socket);
        }
    }

    private Lookup.Reply askOnKeptConnection() throws IOException {
        kept = kept == null ? connect() : kept;
        try {
            return ask(kept);
        } catch (IOException e) {
            kept.close();
            kept = null;
            throw e;
        }
    }

    private Lookup.Reply ask(Socket socket) throws IOException {
        byte[] query = Lookup.query(name, 1, false);
        byte[] framed = new byte[2 + query.length];
        framed[1] = (byte) query.length;
        System.arraycopy(query, 0, framed, 2, query.length);
        socket.getOutputStream().write(framed);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] answer = new byte[in.readUnsignedShort()];
        in.readFully(answer);
        return Lookup.read(answer);
    }

    /** How many queries were answered. */
    int answered() {
        return answered.get();
    }

    /** How many queries were asked again because their TCP connection had ended. */
    int repeated() {
        return repeated.get();
    }

    /** What was not answered, or not with the expected addresses. */
    List<String> wrong() {
        return wrong;
    }

    /** Asks nothing more, and waits for the last answers. */
    void finish() throws InterruptedException {
        closed = true;
        for (Thread thread : threads) {
            thread.join(Fleet.WAIT_MS);
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
