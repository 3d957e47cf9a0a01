package magpiewheel.region;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Migrates load to a new leader in steps, within what a parent that warms up tolerates. Which objects have migrated
 * depends on how long it has led and on nothing else, so that all routers agree on them. All work sent to a parent
 * counts against this router's share of its budget.
 */
final class Handover {
    /** The first step, as a part of all objects; each further step doubles it. */
    static final double FIRST_SHARE = 1 / 16.0;
    /** How long a step lasts. */
    static final long STEP_US = 1_000_000;
    /** The part of what a parent tolerates that is used. */
    static final double SAFETY = 0.7;
    /** The buckets that a window is divided into. */
    private static final int BUCKETS = 8;

    private static final class Ledger {
        final Deque<double[]> pieces = new ArrayDeque<>();
        double sum;
    }

    private final SlowStartProfile slowStart;
    private final Map<Long, Ledger> ledgers = new HashMap<>();

    Handover(SlowStartProfile cold) {
        this.slowStart = cold;
    }

    /** The part of all objects that has migrated to a parent that has led for so long. */
    static double moved(long ledUs) {
        return Math.min(1, FIRST_SHARE * Math.pow(2, Math.floorDiv(Math.max(0, ledUs), STEP_US)));
    }

    /** Whether an object has migrated to a leader that has led for so long. */
    static boolean moved(long ledUs, long leader, long object) {
        return DeterministicHash.fraction(DeterministicHash.of(leader, object)) < moved(ledUs);
    }

    /** Work was sent to a parent. */
    void workSent(long now, long parent, double work) {
        Ledger ledger = ledger(now, parent);
        long piece = Math.max(1, slowStart.overloadWindowUs() / BUCKETS);
        double[] last = ledger.pieces.peekLast();
        if (last == null || last[0] != Math.floorDiv(now, piece)) {
            last = new double[] {Math.floorDiv(now, piece), 0};
            ledger.pieces.addLast(last);
        }
        last[1] += work;
        ledger.sum += work;
    }

    private Ledger ledger(long now, long parent) {
        Ledger ledger = ledgers.computeIfAbsent(parent, id -> new Ledger());
        long piece = Math.max(1, slowStart.overloadWindowUs() / BUCKETS);
        while (!ledger.pieces.isEmpty() && ledger.pieces.peekFirst()[0] < Math.floorDiv(now, piece) - BUCKETS) {
            ledger.sum -= ledger.pieces.pollFirst()[1];
        }
        return ledger;
    }

    /** What all routers together may send to a parent within the overload window; infinite once it is warm. */
    double budget(long now, Parent parent) {
        long since = now - parent.startedUs() - slowStart.overloadWindowUs();
        if (parent.startedUs() <= 0 || since >= slowStart.warmUpUs()) {
            return Double.POSITIVE_INFINITY;
        }
        double present = slowStart.capacityShare(since);
        return SAFETY * slowStart.overloadMultiple() * present * parent.transferCapacity();
    }

    /** Whether this router's share of a parent's budget allows more work; {@code sharers} divide the budget. */
    boolean hasBudget(long now, Parent parent, double sharers, double work) {
        double budget = budget(now, parent);
        return Double.isInfinite(budget) || ledger(now, parent.id()).sum + work <= budget / Math.max(1, sharers);
    }

    /** Forgets all other parents. */
    void retain(java.util.Set<Long> parents) {
        ledgers.keySet().retainAll(parents);
    }
}
