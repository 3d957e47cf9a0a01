package magpiewheel.region;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which part of a leader's load spills to another parent, the second in rank. The lease holder decides it from
 * the load that the routers report, and the placement is part of the lease. Hot objects spill first, then a slice of
 * all others.
 */
final class LoadSpill {
    /** Utilization of its link above which a leader spills load, down to {@link #TARGET_UTILIZATION}. */
    static final double HIGH_UTILIZATION = 0.85;
    /** Utilization of its link down to which a leader spills load. */
    static final double TARGET_UTILIZATION = 0.75;

    /** Utilization of its link below which a leader takes load back. */
    static final double LOW_UTILIZATION = 0.55;
    /** Largest slice, in 255ths: a leader that cannot carry half of its region should not lead. */
    static final int MAX_SLICE = 127;
    /** An object that uses this share of the leader's link is hot. */
    static final double HOT_SHARE = 0.1;
    /** How long a reported load is valid. */
    private static final long REPORT_VALID_US = 1_500_000;

    /** Minimum time between two decisions. */
    static final long DECISION_INTERVAL_US = 1_000_000;
    /** Denominator of slices: a slice is a number of 255ths of all objects. */
    private static final double SLICE_DENOMINATOR = 255;

    private record LoadReport(double sentPerS, long hotObject, double hotSentPerS, long receivedAt) {}

    private final Map<Integer, LoadReport> reports = new HashMap<>();
    private RegionMessage.Placement placement = RegionMessage.Placement.NONE;
    private long decidedAt = Long.MIN_VALUE / 2;
    private long leader;

    /** Records what a router sends to the leader per second, and the object that has the largest part of it. */
    void addReport(long now, int router, double sentPerS, long hotObject, double hotSentPerS) {
        reports.put(router, new LoadReport(sentPerS, hotObject, hotSentPerS, now));
    }

    /** Returns the transfers per second that the routers report sending to the leader. */
    double reportedLoadPerS(long now) {
        reports.values().removeIf(report -> now - report.receivedAt() >= REPORT_VALID_US);
        return reports.values().stream().mapToDouble(LoadReport::sentPerS).sum();
    }

    /**
     * Returns the placement of objects, decided at most once per {@link #DECISION_INTERVAL_US} and reset when the
     * leader or the spill parent changes. {@code spareCapacity} is the free capacity of the spill candidate's link.
     */
    RegionMessage.Placement decide(long now, Parent leadingParent, Parent spillCandidate, double spareCapacity) {
        if (leadingParent.id() != leader) {
            leader = leadingParent.id();
            placement = RegionMessage.Placement.NONE;
            reports.clear();
        }
        if (spillCandidate == null || spillCandidate.id() != placement.spillParent() && placement.spillParent() != 0) {
            placement = RegionMessage.Placement.NONE;
        }
        if (spillCandidate == null || now - decidedAt < DECISION_INTERVAL_US) {
            return placement;
        }
        decidedAt = now;
        double sentPerS = reportedLoadPerS(now);
        double utilization = sentPerS / leadingParent.linkCapacity();
        if (utilization > HIGH_UTILIZATION) {
            placement = spillMore(
                    sentPerS - TARGET_UTILIZATION * leadingParent.linkCapacity(),
                    sentPerS,
                    leadingParent.linkCapacity(),
                    spillCandidate.id(),
                    spareCapacity);
        } else if (utilization < LOW_UTILIZATION && placement.spillParent() != 0) {
            placement = spillLess();
        }
        return placement;
    }

    private RegionMessage.Placement spillMore(
            double excessLoad, double sentPerS, double linkCapacity, long spillParent, double spareCapacity) {
        Map<Long, Double> hotObjectLoads = new HashMap<>();
        reports.values().forEach(report -> {
            if (report.hotObject() != 0) {
                hotObjectLoads.merge(report.hotObject(), report.hotSentPerS(), Double::sum);
            }
        });
        double remainingExcess = excessLoad;
        double remainingSpare = spareCapacity;
        List<Long> objects = new ArrayList<>(placement.hotObjects());
        for (long object : hotObjectLoads.keySet().stream()
                .sorted(Comparator.comparingDouble((Long o) -> -hotObjectLoads.get(o))
                        .thenComparing(o -> o))
                .toList()) {
            double objectLoad = hotObjectLoads.get(object);
            if (remainingExcess > 0
                    && objectLoad >= HOT_SHARE * linkCapacity
                    && objectLoad <= remainingSpare
                    && objects.size() < RegionMessageCodec.MAX_HOT_OBJECTS
                    && !objects.contains(object)) {
                objects.add(object);
                remainingExcess -= objectLoad;
                remainingSpare -= objectLoad;
            }
        }
        int slice = placement.slice();
        double movedLoad = Math.min(remainingExcess, remainingSpare);
        if (movedLoad > 0 && sentPerS > 0) {
            // The slice is a share of all objects; the leader keeps the remaining share.
            double remaining = (1 - slice / SLICE_DENOMINATOR) * (1 - movedLoad / sentPerS);
            slice = Math.min(MAX_SLICE, (int) Math.ceil((1 - remaining) * SLICE_DENOMINATOR));
        }
        return objects.isEmpty() && slice == 0
                ? placement
                : new RegionMessage.Placement(spillParent, slice, List.copyOf(objects));
    }

    private RegionMessage.Placement spillLess() {
        if (placement.slice() > 0) {
            return normalized(new RegionMessage.Placement(
                    placement.spillParent(), placement.slice() * 3 / 4, placement.hotObjects()));
        }
        return normalized(new RegionMessage.Placement(
                placement.spillParent(),
                0,
                placement.hotObjects().subList(0, placement.hotObjects().size() - 1)));
    }

    private static RegionMessage.Placement normalized(RegionMessage.Placement placement) {
        return placement.slice() == 0 && placement.hotObjects().isEmpty() ? RegionMessage.Placement.NONE : placement;
    }

    /** Whether an object is placed at the spill parent. */
    static boolean isSpilled(RegionMessage.Placement placement, long object) {
        return placement.spillParent() != 0
                && (placement.hotObjects().contains(object)
                        || DeterministicHash.fraction(object) * SLICE_DENOMINATOR < placement.slice());
    }
}
