package magpiewheel.region;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Admits fills at the rate that leader and origin carry, the most requested objects first. A fill of an object that is
 * in flight costs nothing more and is admitted. While all fills fit the rate none is rejected; else an object must have
 * been requested as often as those that fitted in the last window.
 */
final class FillAdmission {
    static final long WINDOW_US = 200_000;
    /** Objects whose requests are counted at most. */
    private static final int MAX_OBJECTS = 8_192;
    /** Windows after which all counts are halved. */
    private static final int HALVING_INTERVAL_WINDOWS = 20;
    /** Windows of unused work that are saved up at most. */
    private static final double BURST_WINDOWS = 1;

    private static final int MAX_DEMAND = 64;

    private final Map<Long, int[]> demand = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, int[]> eldest) {
            return size() > MAX_OBJECTS;
        }
    };
    private final Map<Long, Long> inFlight = new HashMap<>();
    /** Work that arrived in this window, by how often its object was requested. */
    private double[] arrivedWork = new double[MAX_DEMAND + 1];

    private double tokens;
    private long refilledAt = Long.MIN_VALUE;
    private long windowAt;
    private int windows;
    private int demandThreshold;
    private long rejected;

    /** Whether a fill may start; {@code workPerS} is the work a second that this router may start. Nobody waits. */
    boolean admits(long now, long object, double work, double workPerS) {
        rotateWindow(now, workPerS);
        int[] count = demand.computeIfAbsent(object, o -> new int[1]);
        count[0] = Math.min(MAX_DEMAND, count[0] + 1);
        if (inFlight.containsKey(object)) {
            return true;
        }
        // What is requested again counts once, with its highest count.
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

    /** A fill ended, with the object or without. */
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
        // The lowest count down to which all work that arrived would have fitted.
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

    /** Halves a count; returns whether nothing is left of it. */
    private static boolean halve(int[] count) {
        count[0] /= 2;
        return count[0] == 0;
    }

    /** How often an object must have been requested now. */
    int demandThreshold() {
        return demandThreshold;
    }

    /** Fills rejected so far. */
    long rejected() {
        return rejected;
    }
}
