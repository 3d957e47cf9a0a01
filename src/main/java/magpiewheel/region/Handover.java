package magpiewheel.region;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Migrates load to a new leader in steps, within what a warming parent tolerates. Which objects have migrated depends
 * only on how long the parent has led, so that all routers agree on them. All work sent to a parent counts against this
 * router's share of the parent's budget.
 */
final class Handover {
    /** Share of all objects that migrates in the first step; each further step doubles it. */
    static final double INITIAL_SHARE = 1 / 16.0;
    /** Duration of a step. */
    static final long STEP_US = 1_000_000;
    /** Share of the load that a warming parent tolerates that may be used. */
    static final double SAFETY_FACTOR = 0.7;
    /** Number of buckets that the overload window is divided into. */
    private static final int BUCKETS = 8;

    private static final class WorkWindow {
        /** Pairs of the bucket number and the work sent in it, oldest first. */
        final Deque<double[]> buckets = new ArrayDeque<>();

        double totalWork;
    }

    private final SlowStartProfile slowStart;
    private final Map<Long, WorkWindow> windows = new HashMap<>();

    Handover(SlowStartProfile slowStart) {
        this.slowStart = slowStart;
    }

    /** Returns the share of all objects that has migrated to a parent that has led for {@code leadingForUs}. */
    static double migratedShare(long leadingForUs) {
        return Math.min(1, INITIAL_SHARE * Math.pow(2, Math.floorDiv(Math.max(0, leadingForUs), STEP_US)));
    }

    /** Whether an object has migrated to a leader that has led for {@code leadingForUs}. */
    static boolean hasMigrated(long leadingForUs, long leader, long object) {
        return DeterministicHash.fraction(DeterministicHash.of(leader, object)) < migratedShare(leadingForUs);
    }

    /** Records work sent to a parent. */
    void workSent(long now, long parent, double work) {
        WorkWindow window = window(now, parent);
        long bucketUs = Math.max(1, slowStart.overloadWindowUs() / BUCKETS);
        double[] last = window.buckets.peekLast();
        if (last == null || last[0] != Math.floorDiv(now, bucketUs)) {
            last = new double[] {Math.floorDiv(now, bucketUs), 0};
            window.buckets.addLast(last);
        }
        last[1] += work;
        window.totalWork += work;
    }

    private WorkWindow window(long now, long parent) {
        WorkWindow window = windows.computeIfAbsent(parent, id -> new WorkWindow());
        long bucketUs = Math.max(1, slowStart.overloadWindowUs() / BUCKETS);
        while (!window.buckets.isEmpty() && window.buckets.peekFirst()[0] < Math.floorDiv(now, bucketUs) - BUCKETS) {
            window.totalWork -= window.buckets.pollFirst()[1];
        }
        return window;
    }

    /**
     * Returns the work that all routers together may send to a parent within the overload window; infinite once the
     * parent is warm.
     */
    double budget(long now, Parent parent) {
        long warmUpElapsedUs = now - parent.startedUs() - slowStart.overloadWindowUs();
        if (parent.startedUs() <= 0 || warmUpElapsedUs >= slowStart.warmUpUs()) {
            return Double.POSITIVE_INFINITY;
        }
        double currentShare = slowStart.capacityShare(warmUpElapsedUs);
        return SAFETY_FACTOR * slowStart.overloadMultiple() * currentShare * parent.transferCapacity();
    }

    /**
     * Whether this router's share of a parent's budget allows more work; the budget is divided by {@code quotaDivisor}.
     */
    boolean hasBudget(long now, Parent parent, double quotaDivisor, double work) {
        double budget = budget(now, parent);
        return Double.isInfinite(budget)
                || window(now, parent.id()).totalWork + work <= budget / Math.max(1, quotaDivisor);
    }

    /** Discards the recorded work of all other parents. */
    void retainParents(java.util.Set<Long> parents) {
        windows.keySet().retainAll(parents);
    }
}
