package magpiewheel;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import magpiewheel.config.FrontConfig;
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
import magpiewheel.resp.RespServer;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RequestRouter;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.upstream.UpstreamPool;

/**
 * Serves made-up requests before the front says that it is up, on a module, an engine and connections of their own that
 * nobody else sees: else the first real ones, on one core and often with the clients of other fronts that are down,
 * wait for code to be compiled. No socket is opened but to the front's own address.
 */
final class WarmUp {
    private static final int REQUESTS = 400;
    private static final int AT_ONCE = 6;
    private static final int QUESTIONS = 60;
    private static final long MOST_MS = 700;
    private static final int BODY = 20_000;
    private static final int BUFFERS = 256;
    private static final int CONNECTIONS = 32;

    private WarmUp() {}

    /**
     * Practises for a moment, also at the own address where it is given; what goes wrong in it costs nothing but the
     * practice.
     */
    static void run(FrontConfig config, InetSocketAddress own, WorkerPool crew) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MS);
        try {
            serve(config, crew, until);
            if (own != null) {
                ask(own, until);
            }
        } catch (IOException | RuntimeException e) {
            System.err.println("magpiewheel: practice ended early: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void serve(FrontConfig config, WorkerPool crew, long until) throws InterruptedException {
        Counters counters = new Counters();
        UnixClock clock = new UnixClock();
        BufferPool pool = new BufferPool(BUFFERS, counters);
        Engine engine = engine(config, crew, clock, pool, counters);
        engine.start();
        engine.endpointsChanged(EndpointListMode.CACHED, listed(config));
        RespServer front = front(config, crew, clock, pool, counters, engine);
        try (ClientLine client = new ClientLine()) {
            front.serve(client);
            List<String> classes = config.settings().classes();
            for (int i = 1; i <= REQUESTS && client.mayAsk(until); i++) {
                client.ask(request(i, classes.get(i % classes.size())));
            }
        } finally {
            engine.shutDown(List.of());
        }
    }

    /** An engine and a module of their own, with nodes that are in memory. */
    private static Engine engine(
            FrontConfig config, WorkerPool crew, UnixClock clock, BufferPool pool, Counters counters) {
        RoutingSettings settings = config.settings().module();
        UpstreamPool nodes = new UpstreamPool(
                pool,
                counters,
                settings.requestClasses(),
                config.dialTimeoutUs(),
                config.settings().idleCloseUs(),
                CONNECTIONS,
                crew,
                clock,
                NodeLine::new);
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
                nodes,
                (to, message) -> {},
                new ResponseCache(BUFFERS / 2, BODY, BODY));
        nodes.setEngine(engine);
        return engine;
    }

    private static List<ListedEndpoint> listed(FrontConfig config) {
        return config.notices().stream()
                .filter(notice -> notice.nodes() != null)
                .flatMap(notice -> notice.nodes().stream())
                .toList();
    }

    private static RespServer front(
            FrontConfig config, WorkerPool crew, UnixClock clock, BufferPool pool, Counters counters, Engine engine) {
        List<Long> deadlines = config.settings().module().requestClasses().stream()
                .map(RequestClass::deadlineUs)
                .toList();
        return new RespServer(
                1,
                engine,
                pool,
                counters,
                clock,
                config.settings().classes(),
                deadlines,
                () -> true,
                crew,
                new ServiceStats(config.settings().classes(), counters),
                ResponseListener.NONE,
                false);
    }

    /** The frame of a made-up request of this class. */
    private static String request(int number, String name) {
        String tag = Integer.toString(number);
        String fields = "trace=" + HexFormat.of().toHexDigits((long) number) + ",patience=900,entity="
                + HexFormat.of().toHexDigits(number % 50L) + ",piece=" + number % 7 + ",lot=" + number % 32 + ",size="
                + (100 + number) + ".5";
        return "*5\r\n$3\r\nASK\r\n$" + tag.length() + "\r\n" + tag + "\r\n$" + name.length() + "\r\n" + name + "\r\n$"
                + fields.length() + "\r\n" + fields + "\r\n$0\r\n\r\n";
    }

    /** The front's own listener and the machine's sockets: how the front is, which is not up yet. */
    private static void ask(InetSocketAddress own, long until) throws IOException {
        for (int i = 0; i < QUESTIONS && System.nanoTime() < until; i++) {
            try (Socket socket = new Socket(own.getAddress(), own.getPort())) {
                socket.setSoTimeout((int) MOST_MS);
                socket.getOutputStream()
                        .write("*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n".getBytes(StandardCharsets.ISO_8859_1));
                socket.getInputStream().read(new byte[64]);
            }
        }
    }

    /**
     * A connection without a network: what is given to it can be read, what is written to it goes to {@link #written}.
     */
    private abstract static class Line extends Socket {
        private final ArrayDeque<byte[]> coming = new ArrayDeque<>();
        private boolean ended;
        private int at;

        abstract void written(String text);

        final synchronized void give(byte[] bytes) {
            coming.addLast(bytes);
            notifyAll();
        }

        private synchronized int read(byte[] to, int from, int count) throws IOException {
            try {
                while (coming.isEmpty() && !ended) {
                    wait();
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            if (ended) {
                return -1;
            }
            byte[] first = coming.peekFirst();
            int part = Math.min(count, first.length - at);
            System.arraycopy(first, at, to, from, part);
            at += part;
            if (at == first.length) {
                coming.pollFirst();
                at = 0;
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
                    return Line.this.read(to, from, count);
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
                    // Heads are what begins an answer or a request, and short.
                    written(new String(bytes, from, Math.min(count, 64), StandardCharsets.ISO_8859_1));
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
            return ended;
        }

        @Override
        public synchronized void close() {
            ended = true;
            notifyAll();
        }
    }

    /** A client: it counts the answers. */
    private static final class ClientLine extends Line {
        private final Semaphore room = new Semaphore(AT_ONCE);

        boolean mayAsk(long until) throws InterruptedException {
            return room.tryAcquire(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
        }

        void ask(String frame) {
            give(frame.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        void written(String text) {
            if (text.startsWith("*4")) {
                room.release();
            }
        }
    }

    /** A node that holds everything. */
    private static final class NodeLine extends Line {
        @Override
        void written(String text) {
            if (text.startsWith("serve ")) {
                byte[] head = (text.split(" ")[1] + " DONE tag=00000000000000aa,minted=1,tell=hit,lag=0.1 " + BODY
                                + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
                byte[] all = new byte[head.length + BODY + 2];
                System.arraycopy(head, 0, all, 0, head.length);
                all[all.length - 2] = '\r';
                all[all.length - 1] = '\n';
                give(all);
            }
        }
    }
}
