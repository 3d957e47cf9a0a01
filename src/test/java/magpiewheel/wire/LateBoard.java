package magpiewheel.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A discovery service that sends each event at once and an empty frame each second, over a network on which bytes
 * arrive late, in order on each connection.
 */
final class LateBoard implements AutoCloseable {
    /** How late bytes arrive, by when they are sent and on which connection, counted from 0. */
    interface Delay {
        long ms(long sinceStartMs, int connection);
    }

    /** Events that several services may share: a service that takes over goes on with the same numbers. */
    static final class Events {
        private final List<byte[]> frames = Collections.synchronizedList(new ArrayList<>());

        /** Adds the purge of an object, and returns how many events there are now. */
        int purge(long object) throws IOException {
            frames.add(ScriptedBoard.purgeFrame(FIRST_REVISION + frames.size(), object));
            return frames.size();
        }
    }

    private record Bytes(byte[] octets, long dueNs) {}

    /** The revision behind that of the configuration. */
    private static final int FIRST_REVISION = 2;

    private static final int KIND_EMPTY = 0;
    private static final long INTERVAL_MS = 1_000;
    private static final long POLL_MS = 10;

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final long startNs = System.nanoTime();
    private final Events events;
    private final Delay delay;
    private int connections;
    private volatile boolean silent;

    LateBoard(Events events, Delay delay) throws IOException {
        this.events = events;
        this.delay = delay;
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                int connection = connections++;
                daemon(() -> serve(socket, connection));
            }
        });
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The router has closed the connection, or the test has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket, int connection) throws IOException, InterruptedException {
        BlockingQueue<Bytes> inTransit = new LinkedBlockingQueue<>();
        long revision = new DataInputStream(socket.getInputStream()).readLong();
        daemon(() -> deliver(inTransit, socket));
        for (long emptyAtMs = sinceStartMs(); !listener.isClosed(); Thread.sleep(POLL_MS)) {
            if (silent) {
                continue;
            }
            for (; revision - FIRST_REVISION + 1 < events.frames.size(); revision++) {
                send(inTransit, events.frames.get((int) revision - FIRST_REVISION + 1), connection);
            }
            if (sinceStartMs() >= emptyAtMs) {
                send(inTransit, ScriptedBoard.frame(revision, KIND_EMPTY, new byte[0]), connection);
                emptyAtMs += INTERVAL_MS;
            }
        }
    }

    private void send(BlockingQueue<Bytes> inTransit, byte[] octets, int connection) {
        long delayNs = TimeUnit.MILLISECONDS.toNanos(delay.ms(sinceStartMs(), connection));
        inTransit.add(new Bytes(octets, System.nanoTime() + delayNs));
    }

    private static void deliver(BlockingQueue<Bytes> inTransit, Socket socket)
            throws IOException, InterruptedException {
        try (socket) {
            OutputStream out = socket.getOutputStream();
            while (true) {
                Bytes next = inTransit.take();
                TimeUnit.NANOSECONDS.sleep(next.dueNs - System.nanoTime());
                out.write(next.octets);
            }
        }
    }

    long sinceStartMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    /** From now on nothing is sent, on open connections and on new ones, or again. */
    void silence(boolean on) {
        silent = on;
    }

    /** The member of a router's configuration that names this service. */
    String member() {
        return "\"board\":\"127.0.0.1:" + listener.getLocalPort() + "\",";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
