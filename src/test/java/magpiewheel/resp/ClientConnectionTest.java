package magpiewheel.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import magpiewheel.engine.Body;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EngineStubs;
import magpiewheel.engine.ResponseCache;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.ServiceStats;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;
import magpiewheel.routing.RoutingActions;
import magpiewheel.routing.RoutingRequest;
import org.junit.jupiter.api.Test;

class ClientConnectionTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final Counters counters = new Counters();
    private final RespServer.Shared shared = shared(null);

    private RespServer.Shared shared(Engine engine) {
        return new RespServer.Shared(
                engine,
                new BufferPool(4, counters),
                counters,
                new UnixClock(),
                List.of("video"),
                List.of(TimeUnit.MINUTES.toMicros(1)),
                () -> true,
                new WorkerPool(),
                new ServiceStats(List.of("video"), counters),
                new ConnectionDrain(ShutdownSchedule.of(List.of())),
                ResponseListener.NONE,
                false);
    }

    private static void until(BooleanSupplier holds) throws InterruptedException {
        for (int i = 0; !holds.getAsBoolean(); i++) {
            assertTrue(i < 10_000, "never happened");
            Thread.sleep(1);
        }
    }

    /**
     * Seen at a rolling restart: connections whose request had come but not had its turn were closed to make room, and
     * came again, 800 in a second.
     */
    @Test
    void aConnectionWithARequestInTransitIsNotEvicted() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket accepted = listener.accept()) {
            ClientConnection connection = new ClientConnection(accepted, shared, gone -> {});
            assertTrue(connection.evictionRank(System.nanoTime() + SECOND) > 0, "silent and not young");
            client.getOutputStream().write("*2\r\n$6\r\nSTA".getBytes());
            until(() -> {
                try {
                    return accepted.getInputStream().available() > 0;
                } catch (java.io.IOException e) {
                    return false;
                }
            });
            Thread.sleep(60);
            assertFalse(connection.evict(), "what waits in the socket is work");
            connection.begin();
            until(() -> connection.evictionRank(System.nanoTime() + SECOND / 10) == 0);
            assertTrue(connection.evictionRank(System.nanoTime() + SECOND) > 0, "but half a request is not for long");
            client.getOutputStream().write("TUS\r\n$1\r\n7\r\n".getBytes());
            byte[] answer = new byte[5];
            assertEquals(5, client.getInputStream().readNBytes(answer, 0, 5));
            until(() -> connection.evictable(System.nanoTime() + SECOND, false));
            until(connection::evict);
            client.getInputStream().skipNBytes("*4\r\n$1\r\n7\r\n$2\r\nUP\r\n$0\r\n\r\n$0\r\n\r\n".length() - 5);
            assertEquals(-1, client.getInputStream().read(), "the end comes behind the answer, and is no reset");
            assertFalse(accepted.isClosed(), "what the client may still send is read");
            until(() -> {
                connection.sweep(System.nanoTime());
                return accepted.isClosed();
            });
        }
    }

    /** A request was read and its connection closed with no answer, as no read buffer was free at that moment. */
    @Test
    void aRequestThatFindsNoReadBufferIsAnsweredOnceOneIsFree() throws Exception {
        Body all = shared.pool().acquire(4 * BufferPool.BUFFER_BYTES, 0);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket accepted = listener.accept()) {
            new ClientConnection(accepted, shared, gone -> {}).begin();
            client.getOutputStream().write("*2\r\n$6\r\nSTATUS\r\n$1\r\n7\r\n".getBytes());
            client.setSoTimeout(100);
            assertThrows(
                    SocketTimeoutException.class, () -> client.getInputStream().read());
            all.release();
            client.setSoTimeout(10_000);
            String answer = "*4\r\n$1\r\n7\r\n$2\r\nUP\r\n";
            assertEquals(answer, new String(client.getInputStream().readNBytes(answer.length())));
        }
    }

    /** A client's side of a connection whose one request comes in the very instant in which the front ends its own. */
    private static final class CrossingSocket extends Socket {
        private final ByteArrayInputStream request =
                new ByteArrayInputStream(("*4\r\n$3\r\nASK\r\n$1\r\n7\r\n$5\r\nvideo\r\n$67\r\n"
                                + "trace=00000000000000aa,patience=900,entity=0000000000000005,piece=0\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        private final CountDownLatch front = new CountDownLatch(1);

        @Override
        public void setTcpNoDelay(boolean on) {}

        @Override
        public InputStream getInputStream() {
            return new InputStream() {
                @Override
                public int read() throws IOException {
                    awaitTheFrontsEnd();
                    return request.read();
                }

                @Override
                public int read(byte[] to, int from, int count) throws IOException {
                    awaitTheFrontsEnd();
                    return request.read(to, from, count);
                }
            };
        }

        private void awaitTheFrontsEnd() throws IOException {
            try {
                front.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        @Override
        public OutputStream getOutputStream() {
            return OutputStream.nullOutputStream();
        }

        @Override
        public void shutdownInput() {
            front.countDown();
        }

        @Override
        public void shutdownOutput() {
            front.countDown();
        }

        @Override
        public void close() {
            front.countDown();
        }

        @Override
        public SocketAddress getLocalSocketAddress() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        }

        @Override
        public SocketAddress getRemoteSocketAddress() {
            return getLocalSocketAddress();
        }
    }

    /** A module that says nothing. */
    private Engine engine() {
        return engine((actions, method, args) -> {});
    }

    private interface Module {
        void told(RoutingActions actions, String method, Object[] args);
    }

    private Engine engine(Module module) {
        Engine engine = new Engine(
                EngineStubs.settings(EngineStubs.idempotentReads()),
                actions -> EngineStubs.routingPolicy((method, arguments) -> {
                    module.told(actions, method, arguments);
                    return null;
                }),
                new UnixClock(),
                counters,
                null,
                (to, message) -> {},
                ResponseCache.disabled());
        engine.start();
        return engine;
    }

    private interface FrontsEnd {
        boolean end(ClientConnection of);
    }

    private long requestsThatCross(FrontsEnd end) throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        ClientConnection connection =
                new ClientConnection(new CrossingSocket(), shared(engine()), client -> gone.countDown());
        connection.begin();
        until(() -> end.end(connection));
        assertTrue(gone.await(10, TimeUnit.SECONDS));
        return counters.get(Counter.REQUESTS);
    }

    /** The client sends such a request again, elsewhere: sent on as well, it would be in work twice. */
    @Test
    void aRequestReadAfterAnEvictionIsNotPassedOn() throws Exception {
        assertEquals(0, requestsThatCross(ClientConnection::evict));
    }

    @Test
    void aRequestReadAfterADrainIsNotPassedOn() throws Exception {
        assertEquals(0, requestsThatCross(client -> {
            client.drainIfUnused();
            return client.halfClosed();
        }));
    }

    @Test
    void aRequestReadAfterARequestTimeoutIsNotPassedOn() throws Exception {
        long later = 3 * SECOND;
        assertEquals(0, requestsThatCross(client -> {
            client.sweep(System.nanoTime() + later);
            return true;
        }));
    }

    @Test
    void aRequestReadAfterAnIdleTimeoutIsNotPassedOn() throws Exception {
        long later = 11 * SECOND;
        assertEquals(0, requestsThatCross(client -> {
            client.sweep(System.nanoTime() + later);
            return true;
        }));
    }

    /** A crowd that says nothing must not hold the places for long; a newcomer's request is on its way for a moment. */
    @Test
    void aNewConnectionIsEvictableOnlyAfterTheGracePeriod() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket accepted = listener.accept()) {
            long before = System.nanoTime();
            ClientConnection connection = new ClientConnection(accepted, shared, gone -> {});
            assertEquals(0, connection.evictionRank(before + SECOND / 100));
            assertTrue(connection.evictionRank(System.nanoTime() + SECOND / 40) > 0);
            assertTrue(client.isConnected());
        }
    }

    /** A client that sends what it is told to and reads no answer until it is let go on. */
    private static final class StuckSocket extends Socket {
        private final PipedOutputStream sends = new PipedOutputStream();
        private final InputStream sent;
        private final CountDownLatch stuck = new CountDownLatch(1);
        private final CountDownLatch reads = new CountDownLatch(1);
        private volatile boolean goes;

        StuckSocket() throws IOException {
            sent = new PipedInputStream(sends);
        }

        void send(String... words) throws IOException {
            StringBuilder frame = new StringBuilder("*" + words.length + "\r\n");
            for (String word : words) {
                frame.append('$')
                        .append(word.length())
                        .append("\r\n")
                        .append(word)
                        .append("\r\n");
            }
            sends.write(frame.toString().getBytes(StandardCharsets.ISO_8859_1));
            sends.flush();
        }

        @Override
        public void setTcpNoDelay(boolean on) {}

        @Override
        public InputStream getInputStream() {
            return sent;
        }

        @Override
        public OutputStream getOutputStream() {
            return new OutputStream() {
                @Override
                public void write(int one) {}

                @Override
                public void write(byte[] bytes, int from, int count) throws IOException {
                    stuck.countDown();
                    try {
                        reads.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    if (goes) {
                        throw new IOException("reset");
                    }
                }
            };
        }

        @Override
        public SocketAddress getLocalSocketAddress() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        }

        @Override
        public SocketAddress getRemoteSocketAddress() {
            return getLocalSocketAddress();
        }
    }

    /** A module that says nothing to its first request and fails the others, and a client that reads no answer. */
    private final class StuckAnswer {
        private final CountDownLatch asked = new CountDownLatch(1);
        private final CountDownLatch givenUp = new CountDownLatch(1);
        private final CountDownLatch gone = new CountDownLatch(1);
        private final StuckSocket client = new StuckSocket();

        StuckAnswer() throws Exception {
            new ClientConnection(client, shared(engine(this::told)), connection -> gone.countDown()).begin();
            ask("1");
            assertTrue(asked.await(10, TimeUnit.SECONDS));
            ask("2");
            assertTrue(client.stuck.await(10, TimeUnit.SECONDS));
        }

        private void told(RoutingActions actions, String method, Object[] args) {
            if (method.equals("requestArrived") && asked.getCount() > 0) {
                asked.countDown();
            } else if (method.equals("requestArrived")) {
                actions.fail(((RoutingRequest) args[1]).id());
            } else if (method.equals("clientDisconnected")) {
                givenUp.countDown();
            }
        }

        void ask(String tag) throws IOException {
            String fields = "trace=000000000000000%s,patience=60000,entity=0000000000000005,piece=0,lot=3,size=4";
            client.send("ASK", tag, "video", String.format(fields, tag));
        }
    }

    /** Behind an answer that the client does not read, the engine would hear seconds late that nobody waits. */
    @Test
    void aRequestIsCancelledWhileAResponseIsBlocked() throws Exception {
        StuckAnswer answer = new StuckAnswer();
        answer.client.send("NEVERMIND", "1");
        assertTrue(answer.givenUp.await(10, TimeUnit.SECONDS), "the engine hears of it behind the answer only");
        answer.client.reads.countDown();
    }

    /** A client that goes resets the answer that is being written to it: nobody waits for what it asked behind that. */
    @Test
    void requestsQueuedBehindAFailedResponseAreNotPassedOn() throws Exception {
        StuckAnswer answer = new StuckAnswer();
        answer.ask("3");
        answer.client.send("NEVERMIND", "1");
        assertTrue(answer.givenUp.await(10, TimeUnit.SECONDS), "the reader has left the request before it");
        answer.client.goes = true;
        answer.client.reads.countDown();
        // The reader is late: it has yet to see the end.
        until(() -> answer.gone.getCount() == 0 || counters.get(Counter.REQUESTS) > 2);
        assertEquals(2, counters.get(Counter.REQUESTS));
    }
}
