package magpiewheel.pressure;

import java.util.SplittableRandom;

/**
 * Which of several collectors is used: the first in order that is not known to be down. One that failed is tried again
 * after a wait that doubles with each failure, with jitter, so that many exporters do not come back to it together; and
 * only after it has held for a while is the wait forgotten, so that one that flaps is tried less and less often. A
 * better one that may be tried again is tried beside the one in use, which is left only once the better one holds.
 */
public final class CollectorChoice {
    /** What to do now: use one (or none, -1), and try another (or none, -1). */
    public record Turn(int use, int attempt) {}

    private static final class One {
        private boolean up;
        private long upSince;
        private long wait;
        private long until;
    }

    private final One[] all;
    private final long firstWaitMs;
    private final long longestWaitMs;
    private final long holdMs;
    private final SplittableRandom random;
    private int inUse = -1;

    /**
     * So many collectors, the best first; waits between the first and the longest, forgotten after holding for so long.
     */
    public CollectorChoice(int collectors, long firstWaitMs, long longestWaitMs, long holdMs, long seed) {
        all = new One[collectors];
        for (int i = 0; i < collectors; i++) {
            all[i] = new One();
        }
        this.firstWaitMs = firstWaitMs;
        this.longestWaitMs = longestWaitMs;
        this.holdMs = holdMs;
        this.random = new SplittableRandom(seed);
    }

    /** What to do at a time. */
    public Turn turn(long nowMs) {
        for (int i = 0; i < all.length; i++) {
            One one = all[i];
            if (one.up && one.wait > 0 && nowMs - one.upSince >= holdMs) {
                one.wait = 0;
            }
            boolean better = inUse < 0 || i < inUse;
            if (one.up && better && (inUse < 0 || nowMs - one.upSince >= holdMs)) {
                inUse = i;
            }
        }
        int attempt = -1;
        for (int i = 0; i < (inUse < 0 ? all.length : inUse) && attempt < 0; i++) {
            if (!all[i].up && nowMs >= all[i].until) {
                attempt = i;
            }
        }
        return new Turn(inUse, attempt);
    }

    /** A collector was reached. */
    public void reached(long nowMs, int collector) {
        One one = all[collector];
        if (!one.up) {
            one.up = true;
            one.upSince = nowMs;
        }
    }

    /** A collector could not be reached, or was lost. */
    public void failed(long nowMs, int collector) {
        One one = all[collector];
        if (one.up && one.wait > 0 && nowMs - one.upSince >= holdMs) {
            one.wait = 0;
        }
        one.up = false;
        one.wait = Math.min(longestWaitMs, Math.max(firstWaitMs, 2 * one.wait));
        // Half of the wait is certain, the other half drawn.
        one.until = nowMs + one.wait / 2 + random.nextLong(one.wait / 2 + 1);
        if (inUse == collector) {
            inUse = -1;
        }
    }

    /** When a collector may be tried next, in ms; meaningless while it is up. */
    public long nextTryMs(int collector) {
        return all[collector].until;
    }
}
