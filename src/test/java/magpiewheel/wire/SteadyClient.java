package magpiewheel.wire;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that keeps its connection in use without a gap, as long as it is open, and then opens another. It keeps the
 * account of its requests: what was answered, and what was lost.
 */
final class SteadyClient implements AutoCloseable {
    /** ns; a request that crosses the end of its connection within this time is sent again by the client. */
    private static final long CROSSING_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** ns; an answer may come this long after the request's time. */
    private static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * How a client asks: milliseconds between requests, most open at once, patience, the share of requests to objects
     * that hang, and whether it comes back after its connection has ended.
     */
    record Habit(int paceMs, int mostOpen, int patienceMs, double hanging, boolean returns) {}

    /** What the clients of one test have seen, together. */
    static final class Account {
        final AtomicLong asked = new AtomicLong();
        final Map<String, AtomicInteger> words = new ConcurrentHashMap<>();
        /** How long each request was open that had no answer when its connection ended, in ns. */
        final List<Long> openAtEndNs = new CopyOnWriteArrayList<>();

        final List<String> broken = new CopyOnWriteArrayList<>();

        /** How many answers came, whatever they said. */
        long answers() {
            return words.values().stream().mapToLong(AtomicInteger::get).sum();
        }

        /** What was lost, on a machine that is late by so many ns at the most. */
        List<String> lost(long latenessNs) {
            List<String> lost = new ArrayList<>(broken);
            openAtEndNs.stream()
                    .filter(open -> open > CROSSING_NS + latenessNs)
                    .forEach(open -> lost.add("open for " + open / 1_000_000 + " ms when its connection ended"));
            return lost;
        }

        @Override
        public String toString() {
            return asked + " asked, answers " + words + ", open at an end " + openAtEndNs + " ns, broken " + broken;
        }
    }

    private static final AtomicLong TRACES = new AtomicLong(System.nanoTime() & 0xffffffffL);

    private final InetSocketAddress router;
    private final Habit habit;
    private final Account account;
    private final Random random;
    private final Thread thread;
    private volatile boolean ended;
    private volatile Socket socket;

    SteadyClient(InetSocketAddress router, Habit habit, Account account, long seed) {
        this.router = router;
        this.habit = habit;
        this.account = account;
        this.random = new Random(seed);
        thread = new Thread(this::run);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        do {
            try (Socket connected = new Socket()) {
                connected.setTcpNoDelay(true);
                connected.connect(router, 2_000);
                socket = connected;
                new Connection(connected).use();
            } catch (IOException e) {
                pause(20);
            }
        } while (habit.returns() && !ended);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection, from its first request until its end. */
    private final class Connection {
        private final Socket connected;
        private final Map<Long, Long> writtenNs = new ConcurrentHashMap<>();
        private volatile long endNs;

        Connection(Socket connected) {
            this.connected = connected;
        }

        void use() {
            Thread reader = new Thread(this::readAnswers);
            reader.setDaemon(true);
            reader.start();
            try {
                for (long tag = 1; endNs == 0 && !ended; pause(habit.paceMs())) {
                    if (writtenNs.size() < habit.mostOpen()) {
                        ask(tag++);
                    }
                }
                awaitOpen();
            } catch (IOException e) {
                // Reset or closed: the reader sees it too.
            }
            try {
                reader.join(Fleet.WAIT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            settle();
        }

        /** The test is over, the connection is not: what is open gets its time to be answered. */
        private void awaitOpen() throws IOException {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(habit.patienceMs()) + LATE_NS;
            while (endNs == 0 && !writtenNs.isEmpty() && System.nanoTime() < until) {
                pause(5);
            }
            if (endNs == 0) {
                endNs = System.nanoTime();
                connected.close();
            }
        }

        private void ask(long tag) throws IOException {
            boolean hangs = random.nextDouble() < habit.hanging();
            String object = String.format("%s%08x", hangs ? "ffffffff" : "00000000", random.nextInt(40) + 1);
            String fields = String.format(
                    "trace=%016x,patience=%d,entity=%s,piece=0,lot=3,size=40",
                    TRACES.incrementAndGet(), habit.patienceMs(), object);
            StringBuilder frame = new StringBuilder("*5\r\n");
            for (String part : new String[] {"ASK", Long.toString(tag), "static", fields, ""}) {
                frame.append('$')
                        .append(part.length())
                        .append("\r\n")
                        .append(part)
                        .append("\r\n");
            }
            writtenNs.put(tag, System.nanoTime());
            account.asked.incrementAndGet();
            connected.getOutputStream().write(frame.toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        private void readAnswers() {
            try {
                InputStream in = new BufferedInputStream(connected.getInputStream());
                while (readAnswer(in)) {
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                // Reset.
            }
            endNs = endNs == 0 ? System.nanoTime() : endNs;
        }

        private boolean readAnswer(InputStream in) throws IOException {
            if (in.read() < 0) {
                return false;
            }
            int parts = number(in);
            List<String> texts = new ArrayList<>();
            for (int i = 0; i < parts; i++) {
                in.read();
                texts.add(new String(in.readNBytes(number(in)), StandardCharsets.ISO_8859_1));
                in.skipNBytes(2);
            }
            Long askedNs = writtenNs.remove(Long.parseLong(texts.get(0)));
            account.words
                    .computeIfAbsent(texts.get(1), word -> new AtomicInteger())
                    .incrementAndGet();
            if (askedNs == null) {
                account.broken.add("an answer to nothing that is open: " + texts.get(0));
            } else if (System.nanoTime() - askedNs > TimeUnit.MILLISECONDS.toNanos(habit.patienceMs()) + LATE_NS) {
                account.broken.add("answered after " + (System.nanoTime() - askedNs) / 1_000_000 + " ms");
            }
            return true;
        }

        private static int number(InputStream in) throws IOException {
            int number = 0;
            for (int next = in.read(); next != '\r'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("ends in the middle of an answer");
                }
                number = number * 10 + next - '0';
            }
            in.read();
            return number;
        }

        private void settle() {
            writtenNs.values().forEach(at -> account.openAtEndNs.add(Math.max(0, endNs - at)));
        }
    }

    /** Sends nothing more, and waits until what is open has its answer or is lost. */
    void finish() throws InterruptedException {
        ended = true;
        thread.join(Fleet.WAIT_MS);
    }

    @Override
    public void close() throws IOException {
        ended = true;
        Socket open = socket;
        if (open != null) {
            open.close();
        }
    }
}
