package magpiewheel.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import magpiewheel.region.Leader;
import magpiewheel.region.Parent;
import magpiewheel.region.RegionCoordinator;
import magpiewheel.region.RouteReason;

/**
 * Connects the routing decisions with the regions: passes parents on, measures what the own zone fills, and finds
 * responses of parents that are overdue. Work is counted in transfers that last the whole overload window, load in
 * concurrent transfers. It decides nothing itself, and does nothing while regions are disabled.
 */
final class RegionBridge {
    /** us; load and free capacity are measured over so long. */
    private static final long MEASUREMENT_WINDOW_US = 2_000_000;

    private static final long REPORT_INTERVAL_US = 500_000;
    /**
     * us; a response is overdue that takes so much longer than twice its transfer time and the parent's usual wait. A
     * parent that waits for a slow origin does not hang.
     */
    private static final long OVERDUE_MARGIN_US = 400_000;

    private static final double EXPECTED_WAIT_FACTOR = 2;
    private static final double US_PER_SECOND = 1e6;

    /** A fill that waits for the response of a parent. */
    private static final class PendingFill {
        final Attempt attempt;
        final Endpoint parent;
        final long dueAt;
        boolean reported;

        PendingFill(Attempt attempt, Endpoint parent, long dueAt) {
            this.attempt = attempt;
            this.parent = parent;
            this.dueAt = dueAt;
        }
    }

    private final FleetProtocols fleet;
    private final RouterTopology topology;
    private final double windowUs;
    private final PriorityQueue<PendingFill> pendingFills =
            new PriorityQueue<>(Comparator.comparingLong(fill -> fill.dueAt));
    private final List<PendingFill> overdueFills = new ArrayList<>();
    private final SlidingWindowSum filledTransfers = new SlidingWindowSum(MEASUREMENT_WINDOW_US);
    private final Map<Long, SlidingWindowSum> sentTransfers = new HashMap<>();
    private List<Parent> parents = List.of();
    private long nextReportAt = Long.MAX_VALUE;

    RegionBridge(FleetProtocols fleet, RoutingSettings settings) {
        this.fleet = fleet;
        this.topology = settings.topology();
        this.windowUs = settings.safetyLimits().overloadWindowUs() > 0
                ? settings.safetyLimits().overloadWindowUs()
                : US_PER_SECOND;
    }

    /** The list changed; the function returns the concurrent transfers that an endpoint carries. */
    void endpointsChanged(long now, Collection<Endpoint> endpoints, ToDoubleFunction<Endpoint> capacity) {
        RegionCoordinator region = fleet.region();
        if (region == null) {
            return;
        }
        if (nextReportAt == Long.MAX_VALUE) {
            nextReportAt = now + REPORT_INTERVAL_US;
            fleet.add(new FleetProtocols.PeerProtocol(
                    message -> false, (at, sender, message) -> {}, this::due, this::tick));
        }
        parents = endpoints.stream()
                .filter(endpoint -> endpoint.id != 0 && endpoint.state != EndpointState.REMOVED && endpoint.isParent())
                .map(endpoint -> {
                    double parentCapacity = capacity.applyAsDouble(endpoint);
                    return new Parent(
                            endpoint.id,
                            endpoint.info.zone(),
                            parentCapacity,
                            parentCapacity,
                            endpoint.info.startedUs(),
                            endpoint.state == EndpointState.DRAINING);
                })
                .toList();
        sentTransfers.keySet().retainAll(parents.stream().map(Parent::id).toList());
        region.parentsChanged(now, parents);
        fleet.scheduleTimer(now);
    }

    /** The candidate that leads for an object of this zone, or null. */
    Endpoint leaderAmong(long now, List<Endpoint> candidates, long objectId, double workUs) {
        RegionCoordinator region = fleet.region();
        Leader leader = region == null ? null : region.leaderFor(now, topology.zone(), objectId, workUs / windowUs);
        return leader == null
                ? null
                : candidates.stream()
                        .filter(endpoint -> endpoint.id == leader.parent())
                        .findFirst()
                        .orElse(null);
    }

    /** Whether the region admits a fill now. */
    boolean admitsFill(long now, long objectId, double workUs) {
        return fleet.region() == null || fleet.region().admitsFill(now, objectId, workUs / windowUs);
    }

    /** An attempt starts that may become a fill; {@code transferUs} is its own transfer time. */
    void attemptStarted(long now, Attempt attempt, long objectId, double workUs, double transferUs) {
        RegionCoordinator region = fleet.region();
        if (region == null || attempt.fillProbability <= 0) {
            return;
        }
        double transfers = attempt.fillProbability * transferUs / US_PER_SECOND;
        filledTransfers.add(now, transfers);
        Endpoint parent = parentOf(attempt);
        if (parent != null) {
            region.fillStarted(now, parent.id, objectId, workUs / windowUs, transfers);
            sentTransfers
                    .computeIfAbsent(parent.id, id -> new SlidingWindowSum(MEASUREMENT_WINDOW_US))
                    .add(now, transfers);
            pendingFills.add(new PendingFill(
                    attempt,
                    parent,
                    now
                            + OVERDUE_MARGIN_US
                            + (long) (EXPECTED_WAIT_FACTOR * (transferUs + parent.fillLatency.or(now, 0)))));
            fleet.scheduleTimer(now);
        }
    }

    /** The parent that serves an attempt or fills for it; null where there is none. */
    private Endpoint parentOf(Attempt attempt) {
        return attempt.target.isParent() ? attempt.target : attempt.source.isParent() ? attempt.source : null;
    }

    /** Such an attempt ended. */
    void attemptEnded(long now, Attempt attempt, long objectId, AttemptOutcome outcome, double transferUs) {
        RegionCoordinator region = fleet.region();
        if (region == null || attempt.fillProbability <= 0) {
            return;
        }
        Endpoint parent = parentOf(attempt);
        boolean bypassed = parent == attempt.target;
        CacheStatus status = outcome.cacheStatus();
        boolean ok = bypassed
                ? outcome.result() == AttemptResult.OK
                : status.isFilled() || status == CacheStatus.SOURCE_MISS;
        boolean rejected = bypassed
                ? outcome.result() == AttemptResult.ERROR || outcome.result() == AttemptResult.REJECTED
                : status == CacheStatus.SOURCE_REJECTED;
        boolean unreachable =
                bypassed ? outcome.result() == AttemptResult.UNREACHABLE : status == CacheStatus.SOURCE_UNREACHABLE;
        if (parent != null && (ok || rejected)) {
            region.parentResponded(
                    now,
                    parent.id,
                    objectId,
                    (long) outcome.waitUs(transferUs),
                    ok,
                    status == (bypassed ? CacheStatus.HIT : CacheStatus.FILLED));
        } else {
            region.fillEnded(objectId, outcome.result() == AttemptResult.OK);
            if (parent != null && unreachable) {
                region.responseOverdue(now, parent.id, attempt.sentAt);
            }
        }
        fleet.scheduleTimer(now);
    }

    // ---------------------------------------------------------------- time

    private long due(long now) {
        while (!pendingFills.isEmpty() && !pendingFills.peek().attempt.open) {
            pendingFills.poll();
        }
        return pendingFills.isEmpty() ? nextReportAt : Math.min(nextReportAt, pendingFills.peek().dueAt);
    }

    private void tick(long now) {
        ArrayDeque<PendingFill> newlyOverdue = new ArrayDeque<>();
        while (due(now) <= now && !pendingFills.isEmpty() && pendingFills.peek().dueAt <= now) {
            newlyOverdue.add(pendingFills.poll());
        }
        overdueFills.removeIf(fill -> !fill.attempt.open);
        overdueFills.addAll(newlyOverdue);
        for (PendingFill fill : overdueFills) {
            if (!fill.reported && isParentAtFault(fill)) {
                fill.reported = true;
                fleet.region().responseOverdue(now, fill.parent.id, fill.attempt.sentAt);
            }
        }
        if (now >= nextReportAt) {
            nextReportAt = now + REPORT_INTERVAL_US;
            reportLoad(now);
        }
    }

    /** Whether the parent is at fault: its cache responds to others, or a second cache waits for the same parent. */
    private boolean isParentAtFault(PendingFill fill) {
        Endpoint target = fill.attempt.target;
        return target == fill.parent
                || target.lastAnsweredAt >= fill.attempt.sentAt
                || overdueFills.stream()
                        .anyMatch(other -> other.parent == fill.parent && other.attempt.target != target);
    }

    /**
     * Reports the load of the own zone, taking its routers to be alike, and the free capacity of each parent's link.
     */
    private void reportLoad(long now) {
        RegionCoordinator region = fleet.region();
        double seconds = MEASUREMENT_WINDOW_US / US_PER_SECOND;
        region.zoneLoadMeasured(
                now,
                filledTransfers.at(now)
                        / seconds
                        * (1
                                + fleet.membershipView()
                                        .runningMembersIn(topology.zone())
                                        .size()));
        Leader leader = region.leader(now);
        int otherRouters = fleet.membershipView().runningMembers().size();
        int otherRoutersOfRegion = region.region() == null
                ? otherRouters
                : region.region().zones().stream()
                        .mapToInt(regionZone -> fleet.membershipView()
                                .runningMembersIn(regionZone)
                                .size())
                        .sum();
        for (Parent parent : parents) {
            SlidingWindowSum transfersOfParent = sentTransfers.get(parent.id());
            // The leader gets its region's fills, another parent those of all routers that choose for themselves.
            int routers = 1 + (leader != null && leader.parent() == parent.id() ? otherRoutersOfRegion : otherRouters);
            double utilization = transfersOfParent == null
                    ? 0
                    : transfersOfParent.at(now) / seconds * routers / parent.linkCapacity();
            region.setFreeLinkShare(parent.id(), Math.max(0, 1 - utilization));
        }
    }

    // ---------------------------------------------------------------- figures

    /** Statistics by their external names; none while regions are disabled. */
    Map<String, Long> statistics(long now) {
        RegionCoordinator region = fleet.region();
        Map<String, Long> statistics = new LinkedHashMap<>();
        if (region == null) {
            return statistics;
        }
        Leader leader = region.leader(now);
        statistics.put("region_verdict", (long) region.regionStatus(now).ordinal());
        statistics.put("region_leader", leader == null ? 0 : leader.parent());
        statistics.put("region_term", leader == null ? 0 : leader.term());
        statistics.put(
                "region_branches",
                region.region() == null ? 0 : (long) region.region().zones().size());
        for (RouteReason reason : RouteReason.values()) {
            statistics.put("region_" + reason.statistic(), region.routeCount(reason));
        }
        statistics.put("region_paced", region.rejectedFills());
        return statistics;
    }
}
