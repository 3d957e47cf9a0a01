package magpiewheel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operators' log of what happened to requests, connections and the process, one line for each event on standard
 * error. A daemon thread writes, so that a log that nobody reads blocks no request; lines beyond
 * {@link #MAX_LINES_PER_SECOND} or beyond the queue are counted, and the count is logged. Times are spans of the
 * monotonic clock since the process started, in seconds. Thread-safe.
 */
public final class EventLog {
    /** What happened; the name in lower case begins the line. */
    public enum Event {
        /** The process, its listener or its drain entered another state. */
        STATE,
        /** A client's connection ended. */
        CLIENT_CLOSED,
        /** A connection to an endpoint ended other than by its idle time-out. */
        ENDPOINT_CLOSED,
        /** A request was rejected, with the promise that it had no effect. */
        REQUEST_REJECTED,
        /** A request was failed. */
        REQUEST_FAILED,
        /** A further attempt of a request began. */
        RETRY,
        /** An attempt was not sent, and thus never ran. */
        ATTEMPT_NOT_SENT,
        /** The discovery service was connected or lost, or sent a list. */
        DISCOVERY,
        /** A system call failed, and the operation is tried again. */
        SYSTEM_CALL_FAILED
    }

    private static final int MAX_LINES_PER_SECOND = 50;
    private static final int QUEUE_LINES = 1_000;
    private static final int COLLECT_MS = 50;
    private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);
    private static final double NS_PER_SECOND = SECOND_NS;

    private static final long STARTED_NS = System.nanoTime();
    private static final ArrayBlockingQueue<String> LINES = new ArrayBlockingQueue<>(QUEUE_LINES);
    private static final AtomicLong SECOND = new AtomicLong();
    private static final AtomicInteger LINES_THIS_SECOND = new AtomicInteger();
    private static final AtomicLong DROPPED = new AtomicLong();
    private static final AtomicLong PENDING = new AtomicLong();
    private static final Thread WRITER = Actor.daemonThread("event-log", EventLog::writeLines);

    static {
        WRITER.start();
    }

    private EventLog() {}

    /** Logs an event; {@code details} is a list of {@code name=value}. Never blocks. */
    public static void log(Event event, String details) {
        long sinceStartNs = System.nanoTime() - STARTED_NS;
        // Changes of state are few, and each is needed to read the rest.
        if (event != Event.STATE && !withinRate(sinceStartNs / SECOND_NS)) {
            DROPPED.incrementAndGet();
            return;
        }
        enqueue(line(event.name(), sinceStartNs, details));
    }

    /** Writes a line that has a form of its own. Never blocks. */
    public static void print(String line) {
        enqueue(line);
    }

    /** Waits until the lines logged so far are written, but no longer than this (ms); for the end of the process. */
    public static void flush(long mostMs) throws InterruptedException {
        long startNs = System.nanoTime();
        WRITER.interrupt();
        while (PENDING.get() > 0 && System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(mostMs)) {
            Thread.sleep(1);
        }
    }

    private static String line(String event, long sinceStartNs, String details) {
        return "magpiewheel: " + Math.round(sinceStartNs / NS_PER_SECOND * 1_000) / 1_000.0 + " "
                + event.toLowerCase(Locale.ROOT).replace('_', '-') + " " + details;
    }

    private static boolean withinRate(long second) {
        long previous = SECOND.get();
        if (previous != second && SECOND.compareAndSet(previous, second)) {
            LINES_THIS_SECOND.set(0);
            long dropped = DROPPED.getAndSet(0);
            if (dropped > 0) {
                enqueue(line("NOT_LOGGED", second * SECOND_NS, "events=" + dropped));
            }
        }
        return LINES_THIS_SECOND.incrementAndGet() <= MAX_LINES_PER_SECOND;
    }

    private static void enqueue(String line) {
        PENDING.incrementAndGet();
        if (!LINES.offer(line)) {
            PENDING.decrementAndGet();
            DROPPED.incrementAndGet();
        }
    }

    /** Writes the lines of {@link #COLLECT_MS} in one call, as each call costs as much as many lines. */
    private static void writeLines() {
        while (true) {
            List<String> lines = new ArrayList<>();
            try {
                lines.add(LINES.take());
                Thread.sleep(COLLECT_MS);
            } catch (InterruptedException e) {
                // The process ends: what there is is written at once.
            }
            LINES.drainTo(lines);
            if (!lines.isEmpty()) {
                System.err.println(String.join(System.lineSeparator(), lines));
                PENDING.addAndGet(-lines.size());
            }
        }
    }
}
