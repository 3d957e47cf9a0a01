package magpiewheel.wire;

/** Measures how late this machine wakes a thread that sleeps: clients see what happens late by as much. */
final class Lateness implements AutoCloseable {
    private static final long SLEEP_NS = 1_000_000;
    private final Thread thread = new Thread(this::sample);
    private volatile long mostNs;
    private volatile boolean closed;

    /** Begins to measure. */
    Lateness() {
        thread.setDaemon(true);
        thread.start();
    }

    private void sample() {
        while (!closed) {
            long startNs = System.nanoTime();
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
            mostNs = Math.max(mostNs, System.nanoTime() - startNs - SLEEP_NS);
        }
    }

    /** The latest wake-up so far, in ns. */
    long mostNs() {
        return mostNs;
    }

    @Override
    public void close() {
        closed = true;
    }
}
