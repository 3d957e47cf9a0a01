package magpiewheel.region;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which part of a leader's load goes to the second in rank. The lease's holder decides it from what the routers report
 * that they send, and the placement is part of the lease. Hot objects go first, then a slice of all others.
 */
final class LoadSpill {
    /** Utilization of its link above which the leader gives load away ... */
    static final double HIGH_UTILIZATION = 0.85;
    /** ... down to this; below {@link #LOW_UTILIZATION} it takes load back. */
    static final double TARGET_UTILIZATION = 0.75;

    static final double LOW_UTILIZATION = 0.55;
    /** The largest slice: a leader that can't carry half of its region should not lead. */
    static final int MAX_SLICE = 127;
    /** An object that uses this part of the leader's link is hot. */
    static final double HOT_SHARE = 0.1;
    /** How long a report counts, and how long a decision stands. */
    private static final long REPORT_VALID_US = 1_500_000;

    static final long DECISION_INTERVAL_US = 1_000_000;
    private static final double ALL_SLICES = 255;

    private record Sent(double sent, long hot, double hotSent, long at) {}

    private final Map<Integer, Sent> reports = new HashMap<>();
    private RegionMessage.Placement placement = RegionMessage.Placement.NONE;
    private long decidedAt = Long.MIN_VALUE / 2;
    private long leader;

    /** A router reported what it sends to the leader, and the object that most of it is for. */
    void reported(long now, int router, double sent, long hot, double hotSent) {
        reports.put(router, new Sent(sent, hot, hotSent, now));
    }

    /** What the routers report that they send to the leader. */
    double reportedLoad(long now) {
        reports.values().removeIf(report -> now - report.at() >= REPORT_VALID_US);
        return reports.values().stream().mapToDouble(Sent::sent).sum();
    }

    /**
     * The placement of objects, decided anew at most once in {@link #DECISION_INTERVAL_US}; {@code spare} is the free
     * capacity of the second's link.
     */
    RegionMessage.Placement decide(long now, Parent first, Parent second, double spare) {
        if (first.id() != leader) {
            leader = first.id();
            placement = RegionMessage.Placement.NONE;
            reports.clear();
        }
        if (second == null || second.id() != placement.second() && placement.second() != 0) {
            placement = RegionMessage.Placement.NONE;
        }
        if (second == null || now - decidedAt < DECISION_INTERVAL_US) {
            return placement;
        }
        decidedAt = now;
        double sent = reportedLoad(now);
        double utilization = sent / first.linkCapacity();
        if (utilization > HIGH_UTILIZATION) {
            placement = increase(
                    sent - TARGET_UTILIZATION * first.linkCapacity(), sent, first.linkCapacity(), second.id(), spare);
        } else if (utilization < LOW_UTILIZATION && placement.second() != 0) {
            placement = decrease();
        }
        return placement;
    }

    private RegionMessage.Placement increase(double over, double sent, double carries, long second, double spare) {
        Map<Long, Double> hot = new HashMap<>();
        reports.values().forEach(report -> {
            if (report.hot() != 0) {
                hot.merge(report.hot(), report.hotSent(), Double::sum);
            }
        });
        double excess = over;
        double spareCapacity = spare;
        List<Long> objects = new ArrayList<>(placement.hotObjects());
        for (long object : hot.keySet().stream()
                .sorted(Comparator.comparingDouble((Long o) -> -hot.get(o)).thenComparing(o -> o))
                .toList()) {
            double part = hot.get(object);
            if (excess > 0
                    && part >= HOT_SHARE * carries
                    && part <= spareCapacity
                    && objects.size() < RegionMessageCodec.MAX_HOT_OBJECTS
                    && !objects.contains(object)) {
                objects.add(object);
                excess -= part;
                spareCapacity -= part;
            }
        }
        int slice = placement.slice();
        double migrated = Math.min(excess, spareCapacity);
        if (migrated > 0 && sent > 0) {
            // The slice is of all objects; the leader still gets all but the slice.
            double remaining = (1 - slice / ALL_SLICES) * (1 - migrated / sent);
            slice = Math.min(MAX_SLICE, (int) Math.ceil((1 - remaining) * ALL_SLICES));
        }
        return objects.isEmpty() && slice == 0
                ? placement
                : new RegionMessage.Placement(second, slice, List.copyOf(objects));
    }

    private RegionMessage.Placement decrease() {
        if (placement.slice() > 0) {
            return trimmed(
                    new RegionMessage.Placement(placement.second(), placement.slice() * 3 / 4, placement.hotObjects()));
        }
        return trimmed(new RegionMessage.Placement(
                placement.second(),
                0,
                placement.hotObjects().subList(0, placement.hotObjects().size() - 1)));
    }

    private static RegionMessage.Placement trimmed(RegionMessage.Placement placing) {
        return placing.slice() == 0 && placing.hotObjects().isEmpty() ? RegionMessage.Placement.NONE : placing;
    }

    /** Whether an object is placed at the second in rank. */
    static boolean goesToSecond(RegionMessage.Placement placing, long object) {
        return placing.second() != 0
                && (placing.hotObjects().contains(object)
                        || DeterministicHash.fraction(object) * ALL_SLICES < placing.slice());
    }
}
