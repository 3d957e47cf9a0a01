package magpiewheel.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Buffers of one size, used again; no more than a fixed number is ever out. */
public final class BufferPool {
    /** Bytes of every buffer: small, as most copies that are held are short. */
    public static final int BUFFER_BYTES = 4 * 1024;

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();
    private final Counters counters;
    private int available;

    /** A pool that lends at most so many buffers. */
    public BufferPool(int maxBuffers, Counters counters) {
        this.available = maxBuffers;
        this.counters = counters;
    }

    /**
     * Room for so many bytes or, after the wait, null. It is taken whole or not at all: readers that held a part each
     * could wait for one another for good.
     */
    public synchronized Body acquire(int bytes, long waitMs) {
        int count = (bytes + BUFFER_BYTES - 1) / BUFFER_BYTES;
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

    /** Buffers that could be lent now. */
    public synchronized int available() {
        return available;
    }
}
