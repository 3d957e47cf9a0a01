package magpiewheel.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Clients as a deployment has them: each holds one connection, asks for small objects, one at a time, reads each answer
 * at once, and connects again when its connection was closed. One thread serves all of them.
 */
final class UsualClients implements AutoCloseable {
    /** ms; how long a client waits. */
    private static final int PATIENCE_MS = 2_000;
    /** ns; an answer may come this long after the request's time. */
    private static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS + 500);
    /** ns; a request that crosses the end of its connection within this time is sent again, once. */
    private static final long CROSSING_NS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long TICK_MS = 2;
    private static final double NS_PER_S = 1e9;
    private static final double NS_PER_MS = 1e6;

    /** What became of the requests so far; latencies in ms. */
    record Result(int asked, int lost, int shutUnread, int late, Map<String, Integer> words, double p50, double p99) {}

    private final InetSocketAddress router;
    private final Selector selector = Selector.open();
    private final List<UsualClient> clients = new ArrayList<>();
    private final double requestsPerS;
    private final Random random;
    private final ByteBuffer received = ByteBuffer.allocateDirect(1 << 16);
    private final Thread thread = new Thread(this::run, "usual-clients");
    private final List<Long> latenciesNs = new ArrayList<>();
    private final Map<String, Integer> words = new TreeMap<>();
    private int asked;
    private int lost;
    private int shutUnread;
    private int late;
    private volatile boolean ending;
    private volatile boolean closed;

    /** Starts so many clients, which together ask so often. */
    UsualClients(InetSocketAddress router, int count, double requestsPerS, long seed) throws IOException {
        this.router = router;
        this.requestsPerS = requestsPerS;
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            clients.add(new UsualClient());
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns what happened since the last call. */
    synchronized Result takeResult() {
        List<Long> sorted = new ArrayList<>(latenciesNs);
        Collections.sort(sorted);
        Result result = new Result(
                asked,
                lost,
                shutUnread,
                late,
                new TreeMap<>(words),
                percentileMs(sorted, 0.5),
                percentileMs(sorted, 0.99));
        latenciesNs.clear();
        words.clear();
        asked = 0;
        lost = 0;
        shutUnread = 0;
        late = 0;
        return result;
    }

    private static double percentileMs(List<Long> sorted, double share) {
        return sorted.isEmpty() ? 0 : sorted.get((int) (sorted.size() * share)) / NS_PER_MS;
    }

    private void run() {
        long nextNs = System.nanoTime();
        try {
            while (!closed) {
                selector.select(TICK_MS);
                synchronized (this) {
                    for (SelectionKey key : selector.selectedKeys()) {
                        ((UsualClient) key.attachment()).ready(key);
                    }
                    selector.selectedKeys().clear();
                    long now = System.nanoTime();
                    for (;
                            now - nextNs >= 0 && !ending;
                            nextNs += (long) (-Math.log(1 - random.nextDouble()) / requestsPerS * NS_PER_S)) {
                        askOne(now);
                    }
                    clients.forEach(client -> client.checkLate(now));
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        } finally {
            clients.forEach(UsualClient::disconnect);
        }
    }

    private void askOne(long now) {
        UsualClient client = clients.get(random.nextInt(clients.size()));
        for (int i = 0; i < clients.size() && client.askedNs != 0; i++) {
            client = clients.get(random.nextInt(clients.size()));
        }
        if (client.askedNs == 0) {
            asked++;
            client.ask(now);
        }
    }

    /** Asks nothing more, and waits for what is open. */
    void finish() throws InterruptedException {
        ending = true;
        long untilNs = System.nanoTime() + LATE_NS + CROSSING_NS;
        while (System.nanoTime() < untilNs && anyOpen()) {
            Thread.sleep(TICK_MS);
        }
    }

    private synchronized boolean anyOpen() {
        return clients.stream().anyMatch(client -> client.askedNs != 0);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join(Fleet.WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }

    private final class UsualClient {
        private SocketChannel channel;
        private byte[] request;
        private long tag;
        private long askedNs;
        private long writtenNs;
        private boolean sentBefore;
        private boolean again;
        private final StringBuilder answer = new StringBuilder();

        void ask(long now) {
            askedNs = now;
            again = false;
            send();
        }

        private void send() {
            try {
                boolean open = channel != null;
                sentBefore = open && tag > 0;
                if (!open) {
                    connect();
                }
                request = ClientFrames.ask(++tag, "static", random.nextInt(200), 0, PATIENCE_MS);
                answer.setLength(0);
                if (open) {
                    write();
                }
            } catch (IOException e) {
                ended(true);
            }
        }

        private void connect() throws IOException {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_CONNECT, this);
            tag = 0;
            channel.connect(router);
        }

        private void write() throws IOException {
            writtenNs = System.nanoTime();
            channel.write(ByteBuffer.wrap(request));
            request = null;
        }

        void ready(SelectionKey key) {
            try {
                if (key.isValid() && key.isConnectable() && channel.finishConnect()) {
                    key.interestOps(SelectionKey.OP_READ);
                    write();
                } else if (key.isValid() && key.isReadable()) {
                    read();
                }
            } catch (IOException e) {
                ended(true);
            }
        }

        private void read() throws IOException {
            received.clear();
            int count = channel.read(received);
            if (count < 0) {
                ended(false);
                return;
            }
            answer.append(StandardCharsets.ISO_8859_1.decode(received.flip()));
            String[] parts = answer.toString().split("\r\n", -1);
            // *4, length and tag, length and word, length and fields, length and body, and the rest behind the last
            // end.
            boolean whole = parts.length > 8 && answer.length() >= headLength(parts) + bodyLength(parts) + 2;
            if (whole && askedNs != 0) {
                words.merge(parts[4], 1, Integer::sum);
                latenciesNs.add(System.nanoTime() - askedNs);
                askedNs = 0;
            }
        }

        private int headLength(String[] parts) {
            int length = 0;
            for (int i = 0; i < 8; i++) {
                length += parts[i].length() + 2;
            }
            return length;
        }

        private int bodyLength(String[] parts) {
            return Integer.parseInt(parts[7].substring(1));
        }

        /**
         * The connection has ended, by a reset if bytes that were sent to it were not read: a request open on it is
         * sent again if it crossed the end or was shut unread, and else is lost.
         */
        private void ended(boolean reset) {
            long openNs = System.nanoTime() - writtenNs;
            boolean written = request == null;
            disconnect();
            if (askedNs == 0) {
                return;
            }
            boolean unread = !written || reset && !sentBefore;
            shutUnread += unread ? 1 : 0;
            if ((unread || openNs <= CROSSING_NS) && !again) {
                again = true;
                send();
            } else if (unread) {
                askedNs = 0;
            } else {
                lost++;
                words.merge("lost", 1, Integer::sum);
                askedNs = 0;
            }
        }

        void checkLate(long now) {
            if (askedNs != 0 && now - askedNs > LATE_NS) {
                late++;
                words.merge("late", 1, Integer::sum);
                askedNs = 0;
                disconnect();
            }
        }

        void disconnect() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // It is closed all the same.
            }
            channel = null;
            tag = 0;
        }
    }
}
