package magpiewheel.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A bounded pool of reusable buffers of one size. Thread-safe. */
public final class BufferPool {
    /** Bytes of each buffer; small, as most copies that are held are short. */
    public static final int BUFFER_BYTES = 4 * 1024;

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();
    /** Divides the number of buffers: with fewer available than this share, buffers are short. */
    private static final int SHORT_DIVISOR = 8;

    private final Counters counters;
    private final int maxBuffers;
    private volatile Runnable onShortage = () -> {};
    private int available;

    /** Creates a pool with at most this many buffers in use at a time. */
    public BufferPool(int maxBuffers, Counters counters) {
        this.available = maxBuffers;
        this.maxBuffers = maxBuffers;
        this.counters = counters;
    }

    /**
     * Sets what is called when buffers are short, on the thread that needs them and without a lock, before it waits:
     * the callee may have others give up theirs.
     */
    public void setShortageListener(Runnable listener) {
        onShortage = listener;
    }

    /**
     * Returns room for a number of bytes, or null if it does not become available within the wait or the thread is
     * interrupted. It is acquired whole or not at all: readers that each held a part could deadlock.
     */
    public Body acquire(int bytes, long waitMs) {
        int count = (bytes + BUFFER_BYTES - 1) / BUFFER_BYTES;
        if (available() - count < maxBuffers / SHORT_DIVISOR) {
            onShortage.run();
        }
        return acquire(bytes, count, waitMs);
    }

    private synchronized Body acquire(int bytes, int count, long waitMs) {
        long deadlineNanos = System.nanoTime() + waitMs * 1_000_000;
        while (available < count) {
            long remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMs <= 0) {
                counters.add(Counter.BUFFERS_OUT);
                return null;
            }
            try {
                wait(remainingMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
        available -= count;
        List<byte[]> buffers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            byte[] buffer = free.pollFirst();
            buffers.add(buffer != null ? buffer : new byte[BUFFER_BYTES]);
        }
        return new Body(this, buffers, bytes);
    }

    synchronized void release(List<byte[]> buffers) {
        available += buffers.size();
        free.addAll(buffers);
        notifyAll();
    }

    /** Returns the number of buffers available now. */
    public synchronized int available() {
        return available;
    }
}
