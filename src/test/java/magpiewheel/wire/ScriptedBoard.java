package magpiewheel.wire;

import static org.testng.Assert.assertNotNull;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A notice board of the tests that tells only the events that a test writes. Its connections are taken at once and kept
 * alive with empty frames, so that a front need not leave them before a test comes to look, until it mutes them.
 */
final class ScriptedBoard implements AutoCloseable {
    static final int READY = 0;
    static final int DRAINING = 1;
    static final int GONE = 2;
    static final int KIND_WHOLE = 1;
    static final int KIND_CHANGES = 2;
    private static final int KIND_PURGE = 3;
    private static final int EMPTY_MS = 200;
    private static final int EAST = 1;
    private static final int WEIGHT = 4_000;

    /** A node as a list names it; kind is its place in {@link Fleet#KINDS}. */
    record Node(int id, InetSocketAddress address, int state, int kind) {
        static Node cache(int id, StandInNode at, int state) {
            return new Node(id, at.address(), state, 0);
        }

        static Node origin(int id, StandInNode at) {
            return new Node(id, at.address(), READY, Fleet.KINDS.indexOf("origin"));
        }
    }

    /** A front's connection: it asked for what is behind a number. */
    static final class Watch implements AutoCloseable {
        final long asked;
        private final Socket socket;
        private boolean mute;

        private Watch(Socket socket) throws IOException {
            this.socket = socket;
            asked = new DataInputStream(socket.getInputStream()).readLong();
            daemon(this::keepAlive);
        }

        private void keepAlive() throws IOException {
            try {
                for (; beat(); Thread.sleep(EMPTY_MS)) {
                    Thread.onSpinWait();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private synchronized boolean beat() throws IOException {
            if (!mute) {
                raw(frame(asked, 0, new byte[0]));
            }
            return !mute;
        }

        /** No empty frames from now on, only what the test writes. */
        synchronized void mute() {
            mute = true;
        }

        void list(long number, int kind, Node... nodes) throws IOException {
            raw(frame(number, kind, records(nodes)));
        }

        void purge(long number, long object) throws IOException {
            raw(purgeFrame(number, object));
        }

        synchronized void raw(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Waits for the front to end the connection. */
        void awaitEnd() throws IOException {
            socket.setSoTimeout((int) Fleet.WAIT_MS);
            if (socket.getInputStream().read() >= 0) {
                throw new AssertionError("the front wrote more than a number");
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private final ServerSocket listener;
    private final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();

    ScriptedBoard() throws IOException {
        this(0);
    }

    /** At a port that one before it held. */
    ScriptedBoard(int port) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 16);
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> watches.add(new Watch(socket)));
            }
        });
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The front has ended the connection, or the test has.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The member of a front's configuration that names this board. */
    String member() {
        return "\"board\":\"127.0.0.1:" + port() + "\",";
    }

    /** The next connection of a front. */
    Watch accept() throws InterruptedException {
        Watch watch = watches.poll(Fleet.WAIT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(watch, "no front asked for the list");
        return watch;
    }

    static byte[] purgeFrame(long number, long object) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(payload);
        out.writeLong(object);
        out.writeLong(System.currentTimeMillis());
        return frame(number, KIND_PURGE, payload.toByteArray());
    }

    static byte[] frame(long number, int kind, byte[] payload) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Long.BYTES + 1 + payload.length);
        out.writeLong(number);
        out.writeByte(kind);
        out.write(payload);
        return bytes.toByteArray();
    }

    static byte[] records(Node... nodes) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(payload);
        for (Node node : nodes) {
            out.writeInt(node.id());
            out.write(node.address().getAddress().getAddress());
            out.writeShort(node.address().getPort());
            out.write(new byte[] {(byte) node.state(), EAST, (byte) node.kind(), 0, 0});
            out.writeInt(WEIGHT);
            out.writeLong(0);
        }
        return payload.toByteArray();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
