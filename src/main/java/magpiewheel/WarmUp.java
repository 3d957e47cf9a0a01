package magpiewheel;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import magpiewheel.config.RouterConfig;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.ResponseCache;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.ServiceStats;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.resp.ClientPoller;
import magpiewheel.resp.ClientTransport;
import magpiewheel.resp.FairShare;
import magpiewheel.resp.RespServer;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RequestRouter;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.upstream.UpstreamPool;

/**
 * Serves simulated requests before the router reports that it is up, with a separate routing module, engine and
 * connections. Otherwise the first real requests would wait for code to be compiled, on one core and often together
 * with the clients of other routers that are down. Sockets are opened only to the router's own address.
 */
final class WarmUp {
    private static final int REQUESTS = 400;
    private static final int MAX_CONCURRENT_REQUESTS = 6;
    private static final int STATUS_REQUESTS = 60;
    private static final long MAX_DURATION_MS = 700;
    private static final int BODY_BYTES = 20_000;
    private static final int BUFFERS = 256;
    private static final int MAX_UPSTREAM_CONNECTIONS = 32;

    private WarmUp() {}

    /**
     * Runs the warm-up for at most {@link #MAX_DURATION_MS}, also over sockets if {@code ownAddress} is not null. An
     * error ends the warm-up only.
     */
    static void run(RouterConfig config, InetSocketAddress ownAddress, WorkerPool workers, ClientPoller poller) {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DURATION_MS);
        try {
            serve(config, workers, poller, deadlineNs);
            if (ownAddress != null) {
                requestStatus(ownAddress, deadlineNs);
            }
        } catch (IOException | RuntimeException e) {
            System.err.println("magpiewheel: warm-up ended early: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void serve(RouterConfig config, WorkerPool workers, ClientPoller poller, long deadlineNs)
            throws InterruptedException {
        Counters counters = new Counters();
        UnixClock clock = UnixClock.monotonic();
        BufferPool pool = new BufferPool(BUFFERS, counters);
        Engine engine = engine(config, workers, clock, pool, counters);
        engine.start();
        engine.endpointsChanged(EndpointListMode.CACHED, endpoints(config));
        RespServer respServer = respServer(config, workers, poller, clock, pool, counters, engine);
        try (SimulatedClient client = new SimulatedClient()) {
            respServer.serve(client);
            List<String> classes = config.settings().classes();
            for (int i = 1; i <= REQUESTS && client.acquireSlot(deadlineNs); i++) {
                client.send(request(i, classes.get(i % classes.size())));
            }
        } finally {
            engine.shutDown(List.of());
        }
    }

    /** Creates a separate engine and routing module, with simulated caches. */
    private static Engine engine(
            RouterConfig config, WorkerPool workers, UnixClock clock, BufferPool pool, Counters counters) {
        RoutingSettings settings = config.settings().routing();
        UpstreamPool upstreams = new UpstreamPool(
                pool,
                counters,
                settings.requestClasses(),
                config.connectTimeoutUs(),
                config.settings().idleCloseUs(),
                MAX_UPSTREAM_CONNECTIONS,
                workers,
                clock,
                SimulatedCache::new);
        Engine engine = new Engine(
                settings,
                actions -> new RequestRouter(
                        settings,
                        config.seed(),
                        actions,
                        settings.topology()
                                .membershipConfig(0, MembershipConfig.SLOW_HEARTBEAT_US, clock.now() / 1_000, false),
                        null,
                        false),
                clock,
                counters,
                upstreams,
                (to, message) -> {},
                new ResponseCache(BUFFERS / 2, BODY_BYTES, BODY_BYTES));
        upstreams.setEngine(engine);
        return engine;
    }

    private static List<ListedEndpoint> endpoints(RouterConfig config) {
        return config.notices().stream()
                .filter(notice -> notice.endpoints() != null)
                .flatMap(notice -> notice.endpoints().stream())
                .toList();
    }

    private static RespServer respServer(
            RouterConfig config,
            WorkerPool workers,
            ClientPoller poller,
            UnixClock clock,
            BufferPool pool,
            Counters counters,
            Engine engine) {
        List<Long> deadlines = config.settings().routing().requestClasses().stream()
                .map(RequestClass::deadlineUs)
                .toList();
        return new RespServer(
                1,
                FairShare.UNLIMITED,
                engine,
                pool,
                counters,
                clock,
                config.settings().classes(),
                deadlines,
                () -> true,
                workers,
                poller,
                new ServiceStats(config.settings().classes(), counters),
                ResponseListener.NONE,
                false);
    }

    /** Returns the frame of a simulated request of the named class. */
    private static String request(int number, String name) {
        String tag = Integer.toString(number);
        String fields = "trace=" + HexFormat.of().toHexDigits((long) number) + ",patience=900,entity="
                + HexFormat.of().toHexDigits(number % 50L) + ",piece=" + number % 7 + ",lot=" + number % 32 + ",size="
                + (100 + number) + ".5";
        return "*5\r\n$3\r\nASK\r\n$" + tag.length() + "\r\n" + tag + "\r\n$" + name.length() + "\r\n" + name + "\r\n$"
                + fields.length() + "\r\n" + fields + "\r\n$0\r\n\r\n";
    }

    /** Sends {@code STATUS} requests to the router's own listener, to warm up the code for real sockets. */
    private static void requestStatus(InetSocketAddress ownAddress, long deadlineNs) throws IOException {
        for (int i = 0; i < STATUS_REQUESTS && System.nanoTime() < deadlineNs; i++) {
            try (Socket socket = new Socket(ownAddress.getAddress(), ownAddress.getPort())) {
                socket.setSoTimeout((int) MAX_DURATION_MS);
                socket.getOutputStream()
                        .write("*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n".getBytes(StandardCharsets.ISO_8859_1));
                socket.getInputStream().read(new byte[64]);
            }
        }
    }

    /**
     * A connection without a network: bytes passed to {@link #enqueue} can be read, and writes go to {@link #onWrite}.
     */
    private abstract static class InMemorySocket extends Socket {
        private final ArrayDeque<byte[]> readQueue = new ArrayDeque<>();
        private boolean closed;
        private int offset;

        abstract void onWrite(String text);

        final synchronized void enqueue(byte[] bytes) {
            readQueue.addLast(bytes);
            notifyAll();
        }

        private synchronized int read(byte[] to, int from, int count) throws IOException {
            try {
                while (readQueue.isEmpty() && !closed) {
                    wait();
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            if (closed) {
                return -1;
            }
            byte[] first = readQueue.peekFirst();
            int part = Math.min(count, first.length - offset);
            System.arraycopy(first, offset, to, from, part);
            offset += part;
            if (offset == first.length) {
                readQueue.pollFirst();
                offset = 0;
            }
            return part;
        }

        @Override
        public InputStream getInputStream() {
            return new InputStream() {
                @Override
                public int read() throws IOException {
                    byte[] one = new byte[1];
                    return read(one, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(one[0]);
                }

                @Override
                public int read(byte[] to, int from, int count) throws IOException {
                    return InMemorySocket.this.read(to, from, count);
                }
            };
        }

        @Override
        public OutputStream getOutputStream() {
            return new OutputStream() {
                @Override
                public void write(int one) {}

                @Override
                public void write(byte[] bytes, int from, int count) {
                    // Only the head at the start of a response or request is needed, and it is short.
                    onWrite(new String(bytes, from, Math.min(count, 64), StandardCharsets.ISO_8859_1));
                }
            };
        }

        @Override
        public void connect(SocketAddress to, int timeout) {}

        @Override
        public void setTcpNoDelay(boolean on) {}

        @Override
        public void setSendBufferSize(int size) {}

        @Override
        public SocketAddress getLocalSocketAddress() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        }

        @Override
        public SocketAddress getRemoteSocketAddress() {
            return getLocalSocketAddress();
        }

        @Override
        public synchronized boolean isClosed() {
            return closed;
        }

        @Override
        public synchronized void close() {
            closed = true;
            notifyAll();
        }
    }

    /** A client that limits its concurrent requests: each response frees a slot. */
    private static final class SimulatedClient implements ClientTransport, AutoCloseable {
        private final Semaphore freeSlots = new Semaphore(MAX_CONCURRENT_REQUESTS);
        private final Queue<ByteBuffer> sent = new ConcurrentLinkedQueue<>();
        private ClientPoller poller;
        private ReadinessHandler handler;
        private volatile boolean closed;

        boolean acquireSlot(long deadlineNs) throws InterruptedException {
            return freeSlots.tryAcquire(Math.max(0, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS);
        }

        void send(String frame) {
            sent.add(ByteBuffer.wrap(frame.getBytes(StandardCharsets.ISO_8859_1)));
            poller.execute(handler::onReadable);
        }

        @Override
        public void open(ClientPoller readinessPoller, ReadinessHandler readinessHandler) {
            poller = readinessPoller;
            handler = readinessHandler;
        }

        @Override
        public int read(ByteBuffer target) {
            if (closed) {
                return -1;
            }
            ByteBuffer first = sent.poll();
            if (first == null) {
                return 0;
            }
            int count = first.remaining();
            target.put(first);
            return count;
        }

        @Override
        public int write(ByteBuffer source) {
            int count = source.remaining();
            boolean head =
                    count > 1 && source.get(source.position()) == '*' && source.get(source.position() + 1) == '4';
            source.position(source.limit());
            if (head) {
                freeSlots.release();
            }
            return count;
        }

        @Override
        public void readable(boolean report) {
            if (report) {
                poller.execute(handler::onReadable);
            }
        }

        @Override
        public void awaitWritable() {}

        @Override
        public boolean hasUnread() {
            return !sent.isEmpty();
        }

        @Override
        public void shutdownOutput() {}

        @Override
        public void close() {
            boolean first = !closed;
            closed = true;
            if (first && poller != null) {
                poller.execute(handler::onReadable);
            }
        }

        @Override
        public InetSocketAddress localAddress() {
            return null;
        }

        @Override
        public InetSocketAddress remoteAddress() {
            return null;
        }
    }

    /** A cache that answers every request with a hit. */
    private static final class SimulatedCache extends InMemorySocket {
        @Override
        void onWrite(String text) {
            if (text.startsWith("serve ")) {
                byte[] head = (text.split(" ")[1] + " DONE tag=00000000000000aa,minted=1,tell=hit,lag=0.1 " + BODY_BYTES
                                + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
                byte[] all = new byte[head.length + BODY_BYTES + 2];
                System.arraycopy(head, 0, all, 0, head.length);
                all[all.length - 2] = '\r';
                all[all.length - 1] = '\n';
                enqueue(all);
            }
        }
    }
}
