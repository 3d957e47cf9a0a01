package magpiewheel;

import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Actor;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Pause;

/**
 * Keeps the heap to its part of the memory budget. The maximum heap is a flag of the virtual machine and holds for
 * every setting; with a smaller budget the old generation would grow into it before it is collected, so this collects
 * earlier.
 */
final class HeapGuard {
    private static final long CHECK_MS = 50;
    /** The heap grows by less than this between two checks. */
    private static final long MARGIN_BYTES = 1L << 20;
    /** Divides the time: collecting takes at most this fraction of it. */
    private static final int TIME_DIVISOR = 20;

    private final long heapBytes;
    private long nextCollectionNs = System.nanoTime();

    private HeapGuard(long heapBytes) {
        this.heapBytes = heapBytes;
    }

    /** Starts a guard for a heap of so many bytes, unless the maximum heap is no larger. */
    static void start(long heapBytes) {
        if (heapBytes < Runtime.getRuntime().maxMemory()) {
            HeapGuard guard = new HeapGuard(heapBytes);
            Actor.daemonThread("heap-guard", guard::run).start();
        }
    }

    private void run() {
        while (true) {
            Pause.ms(CHECK_MS);
            long startNs = System.nanoTime();
            if (Runtime.getRuntime().totalMemory() > heapBytes - MARGIN_BYTES && startNs - nextCollectionNs >= 0) {
                collect(startNs);
            }
        }
    }

    private void collect(long startNs) {
        long beforeBytes = Runtime.getRuntime().totalMemory();
        System.gc();
        long tookNs = System.nanoTime() - startNs;
        nextCollectionNs = System.nanoTime() + tookNs * TIME_DIVISOR;
        EventLog.log(
                EventLog.Event.STATE,
                "heap=collected reason=memory-budget before_kb=" + beforeBytes / 1_024 + " after_kb="
                        + Runtime.getRuntime().totalMemory() / 1_024 + " may_use_kb=" + heapBytes / 1_024 + " took_ms="
                        + TimeUnit.NANOSECONDS.toMillis(tookNs));
    }
}
