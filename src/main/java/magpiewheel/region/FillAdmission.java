package magpiewheel.region;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits fills to the rate that the leader and the origin can carry, and admits the most requested objects first. A
 * fill of an object that is already in flight costs no additional work and is always admitted. While all fills fit the
 * rate none is rejected; otherwise an object must have been requested as often as those that fitted in the last window.
 */
final class FillAdmission {
    static final long WINDOW_US = 200_000;
    /** Maximum number of objects whose requests are counted. */
    private static final int MAX_OBJECTS = 8_192;
    /** Number of windows after which all request counts are halved. */
    private static final int HALVING_INTERVAL_WINDOWS = 20;
    /** Maximum unused budget that is saved up, in windows. */
    private static final double BURST_WINDOWS = 1;

    /** Request counts are capped at this value. */
    private static final int MAX_DEMAND = 64;

    private final Map<Long, int[]> demand = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, int[]> eldest) {
            return size() > MAX_OBJECTS;
        }
    };
    private final Map<Long, Long> inFlight = new HashMap<>();
    /** Work that arrived in this window, indexed by the request count of its object. */
    private double[] arrivedWork = new double[MAX_DEMAND + 1];

    private double tokens;
    private long refilledAt = Long.MIN_VALUE;
    private long windowAt;
    private int windows;
    private int demandThreshold;
    private long rejected;

    /**
     * Whether a fill may start now; {@code workPerS} is the work per second that this router may start. Fills are
     * admitted or rejected at once, never queued.
     */
    boolean admits(long now, long object, double work, double workPerS) {
        rotateWindow(now, workPerS);
        int[] count = demand.computeIfAbsent(object, o -> new int[1]);
        count[0] = Math.min(MAX_DEMAND, count[0] + 1);
        if (inFlight.containsKey(object)) {
            return true;
        }
        // The work of an object that is requested again counts once, at its highest request count.
        arrivedWork[count[0]] += work;
        if (count[0] > 1) {
            arrivedWork[count[0] - 1] = Math.max(0, arrivedWork[count[0] - 1] - work);
        }
        if (count[0] < demandThreshold || tokens < work) {
            rejected++;
            return false;
        }
        tokens -= work;
        inFlight.put(object, now);
        return true;
    }

    /** Records the end of a fill; {@code filled} tells whether the object was received. */
    void fillEnded(long object, boolean filled) {
        inFlight.remove(object);
        if (filled) {
            demand.remove(object);
        }
    }

    private void rotateWindow(long now, double workPerS) {
        if (refilledAt == Long.MIN_VALUE) {
            refilledAt = now;
            windowAt = now;
            tokens = workPerS * WINDOW_US / 1e6 * BURST_WINDOWS;
        }
        tokens = Math.min(
                Math.max(1, workPerS * WINDOW_US / 1e6 * BURST_WINDOWS), tokens + workPerS * (now - refilledAt) / 1e6);
        refilledAt = now;
        if (now - windowAt < WINDOW_US) {
            return;
        }
        double windowBudget = workPerS * (now - windowAt) / 1e6;
        windowAt = now;
        // The lowest request count for which all work that arrived at this count or above would have fitted.
        int threshold = MAX_DEMAND;
        double cumulativeWork = arrivedWork[MAX_DEMAND];
        while (threshold > 0 && cumulativeWork + arrivedWork[threshold - 1] <= windowBudget) {
            threshold--;
            cumulativeWork += arrivedWork[threshold];
        }
        demandThreshold = threshold;
        arrivedWork = new double[MAX_DEMAND + 1];
        inFlight.values().removeIf(since -> now - since > 10_000_000);
        if (++windows % HALVING_INTERVAL_WINDOWS == 0) {
            demand.values().removeIf(FillAdmission::halve);
        }
    }

    /** Halves a count; returns whether it is now 0. */
    private static boolean halve(int[] count) {
        count[0] /= 2;
        return count[0] == 0;
    }

    /** Returns the number of requests that an object needs now for a fill to be admitted. */
    int demandThreshold() {
        return demandThreshold;
    }

    /** Returns the number of fills rejected so far. */
    long rejected() {
        return rejected;
    }
}
