package magpiewheel.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks parents by the measurements of all routers. A parent's cost is the median of the reports, so that one router's
 * bad connection cannot elect a parent; parents without a report count as average. A challenger must be better by a
 * margin, without interruption for {@link #CHALLENGE_DURATION_US}.
 */
final class ParentRanking {
    /** How long a report is valid. */
    static final long REPORT_VALID_US = 3_000_000;
    /** Largest cost of a challenger, as a ratio of the leader's cost. */
    static final double MAX_COST_RATIO = 0.7;
    /** Smallest difference in cost by which a challenger must be better. */
    static final double MIN_GAIN_US = 15_000;
    /** How long a challenger must be better without interruption. */
    static final long CHALLENGE_DURATION_US = 4_000_000;
    /** Cost of a failed fill. */
    private static final double FAILURE_COST_US = 1_000_000;
    /** Additional cost of a miss at the parent, compared with a hit. */
    private static final double MISS_COST_US = 60_000;
    /**
     * Below this free share of its link a parent costs a part of {@link #FULL_LINK_COST_US}, all of it if the link is
     * full.
     */
    private static final double LOW_FREE_LINK_SHARE = 0.15;

    private static final double FULL_LINK_COST_US = 400_000;
    /** Cost of all parents while none has a report. */
    private static final double UNMEASURED_COST_US = 100_000;

    private record ReceivedReport(RegionMessage.ParentReport report, long receivedAt) {}

    private final int region;
    private final Map<Long, Map<Integer, ReceivedReport>> reports = new HashMap<>();
    private long challenger;
    private long challengerSince;

    ParentRanking(int region) {
        this.region = region;
    }

    /** Records the measurements of a parent that a router reported. */
    void addReport(long now, int router, RegionMessage.ParentReport report) {
        if (report.samples() > 0 || report.silentUs() > 0) {
            reports.computeIfAbsent(report.parent(), id -> new HashMap<>())
                    .put(router, new ReceivedReport(report, now));
        }
    }

    /** Returns the cost of a fill from a parent, the median of the reports, in microseconds; NaN without a report. */
    double cost(long now, long parent) {
        List<Double> costs = new ArrayList<>();
        for (ReceivedReport received : reports.getOrDefault(parent, Map.of()).values()) {
            if (now - received.receivedAt() < REPORT_VALID_US
                    && received.report().samples() > 0) {
                costs.add(cost(received.report()));
            }
        }
        costs.sort(null);
        int count = costs.size();
        return count == 0 ? Double.NaN : (costs.get((count - 1) / 2) + costs.get(count / 2)) / 2;
    }

    private static double cost(RegionMessage.ParentReport report) {
        double linkFullness = Math.max(0, LOW_FREE_LINK_SHARE - report.freeLinkShare()) / LOW_FREE_LINK_SHARE;
        return report.firstByteUs()
                + FAILURE_COST_US * report.failureRatio()
                + MISS_COST_US * (1 - report.hitRatio())
                + FULL_LINK_COST_US * linkFullness;
    }

    /** Returns the free share of a parent's link, the lowest of the reports; 1 without a report. */
    double freeLinkShare(long now, long parent) {
        return reports.getOrDefault(parent, Map.of()).values().stream()
                .filter(received -> now - received.receivedAt() < REPORT_VALID_US
                        && received.report().samples() > 0)
                .mapToDouble(received -> received.report().freeLinkShare())
                .min()
                .orElse(1);
    }

    /**
     * Returns the parents from the lowest to the highest cost. The order of equal costs depends on the region, so that
     * regions prefer different parents.
     */
    List<Long> ranked(long now, List<Long> eligible) {
        Map<Long, Double> costs = new HashMap<>();
        for (long parent : eligible) {
            double cost = cost(now, parent);
            costs.put(parent, cost);
        }
        double average = costs.values().stream()
                .filter(c -> !c.isNaN())
                .mapToDouble(c -> c)
                .average()
                .orElse(UNMEASURED_COST_US);
        costs.replaceAll((parent, cost) -> cost.isNaN() ? average : cost);
        List<Long> ranked = new ArrayList<>(eligible);
        ranked.sort((one, two) -> {
            int order = Double.compare(costs.get(one), costs.get(two));
            return order != 0
                    ? order
                    : Long.compare(DeterministicHash.of(region, one), DeterministicHash.of(region, two));
        });
        return ranked;
    }

    /**
     * Returns the parent that should lead: the current one, unless it is not eligible or a challenger has been better
     * for long enough; 0 if no parent is eligible.
     */
    long choose(long now, long current, List<Long> eligible) {
        if (eligible.isEmpty()) {
            return 0;
        }
        if (!eligible.contains(current)) {
            challenger = 0;
            return ranked(now, eligible).get(0);
        }
        double currentCost = cost(now, current);
        long best = eligible.stream()
                .filter(parent -> parent != current && isBetter(cost(now, parent), currentCost))
                .min((one, two) -> Double.compare(cost(now, one), cost(now, two)))
                .orElse(0L);
        if (best == 0 || challenger != 0 && challenger != best && !isBetter(cost(now, challenger), currentCost)) {
            challenger = 0;
        }
        if (best != 0 && challenger == 0) {
            challenger = best;
            challengerSince = now;
        }
        if (challenger != 0 && now - challengerSince >= CHALLENGE_DURATION_US) {
            long elected = challenger;
            challenger = 0;
            return elected;
        }
        return current;
    }

    private static boolean isBetter(double cost, double currentCost) {
        return cost < MAX_COST_RATIO * currentCost && cost < currentCost - MIN_GAIN_US;
    }

    /** Discards the reports of a parent that hangs or whose process was restarted. */
    void forget(long parent) {
        reports.remove(parent);
    }
}
