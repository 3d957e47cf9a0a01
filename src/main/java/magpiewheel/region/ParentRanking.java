package magpiewheel.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks parents by what the routers measured. A parent's cost is the median of the reports, so that one router's bad
 * connection elects nobody; parents without a report count as average. A challenger must be better by a margin, for a
 * time without a break.
 */
final class ParentRanking {
    /** How long a report counts. */
    static final long REPORT_VALID_US = 3_000_000;
    /** A challenger's cost is at most this part of the leader's ... */
    static final double MAX_COST_RATIO = 0.7;
    /** ... and less by so much ... */
    static final double MIN_GAIN_US = 15_000;
    /** ... for so long. */
    static final long CHALLENGE_DURATION_US = 4_000_000;
    /** A failed fill costs as much as this. */
    private static final double FAILURE_COST_US = 1_000_000;
    /** A miss at the parent, against a hit. */
    private static final double MISS_COST_US = 60_000;
    /** Below this free capacity of its link a parent costs a part of {@link #FULL_LINK_COST_US}. */
    private static final double LOW_FREE_LINK_SHARE = 0.15;

    private static final double FULL_LINK_COST_US = 400_000;
    private static final double UNMEASURED_COST_US = 100_000;

    private record ReceivedReport(RegionMessage.ParentReport report, long receivedAt) {}

    private final int region;
    private final Map<Long, Map<Integer, ReceivedReport>> reports = new HashMap<>();
    private long challenger;
    private long challengerSince;

    ParentRanking(int region) {
        this.region = region;
    }

    /** A router reported what it measured. */
    void addReport(long now, int router, RegionMessage.ParentReport report) {
        if (report.samples() > 0 || report.silentUs() > 0) {
            reports.computeIfAbsent(report.parent(), id -> new HashMap<>())
                    .put(router, new ReceivedReport(report, now));
        }
    }

    /** What a fill from a parent costs, by the median of the reports, us; NaN without a report. */
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

    /** The free part of a parent's link, by the lowest report; 1 without a report. */
    double freeLinkShare(long now, long parent) {
        return reports.getOrDefault(parent, Map.of()).values().stream()
                .filter(received -> now - received.receivedAt() < REPORT_VALID_US
                        && received.report().samples() > 0)
                .mapToDouble(received -> received.report().freeLinkShare())
                .min()
                .orElse(1);
    }

    /** From the best to the worst; equals are ordered by the region, so that regions differ in that. */
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
     * The parent that should lead: the current one, unless it is not eligible or another was better for long; 0 for
     * none.
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

    /** Forgets the reports of a parent: it hangs, or its process was restarted. */
    void forget(long parent) {
        reports.remove(parent);
    }
}
