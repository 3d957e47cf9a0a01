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
 * Connects the routing decisions with the region coordinator: passes the parents on, measures the fills of this
 * router's zone, and detects overdue responses of parents. Work is counted in transfers that last one overload window,
 * load in concurrent transfers. The bridge makes no decisions, and does nothing while regions are disabled.
 */
final class RegionBridge {
    /** Window over which load and free capacity are measured. */
    private static final long MEASUREMENT_WINDOW_US = 2_000_000;

    private static final long REPORT_INTERVAL_US = 500_000;
    /**
     * A response is overdue if it takes this much longer than twice the sum of its transfer time and the parent's mean
     * latency. The margin keeps a parent that waits for a slow origin from being taken for unresponsive.
     */
    private static final long OVERDUE_MARGIN_US = 400_000;

    private static final double EXPECTED_WAIT_FACTOR = 2;
    private static final double US_PER_SECOND = 1e6;

    /** A fill for which the response of a parent is pending. */
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

    /**
     * Passes the parents of a changed endpoint list on.
     *
     * @param capacity returns the number of concurrent transfers that an endpoint can carry
     */
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

    /** Returns the candidate that is the leader for an object in this zone; null where none is. */
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

    /** Whether the region admits a fill now; always while regions are disabled. */
    boolean admitsFill(long now, long objectId, double workUs) {
        return fleet.region() == null || fleet.region().admitsFill(now, objectId, workUs / windowUs);
    }

    /**
     * Counts an attempt that starts, where it may become a fill.
     *
     * @param workUs the conservative estimate of the transfer time
     * @param transferUs the estimated transfer time of this request
     */
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

    /** Returns the parent that serves an attempt or is its fill source; null where no parent is involved. */
    private Endpoint parentOf(Attempt attempt) {
        return attempt.target.isParent() ? attempt.target : attempt.source.isParent() ? attempt.source : null;
    }

    /** Reports the end of an attempt that may have been a fill. */
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

    /**
     * Whether the parent and not the cache is at fault: the parent serves the attempt itself, the cache has responded
     * since, or another cache waits for the same parent.
     */
    private boolean isParentAtFault(PendingFill fill) {
        Endpoint target = fill.attempt.target;
        return target == fill.parent
                || target.lastAnsweredAt >= fill.attempt.sentAt
                || overdueFills.stream()
                        .anyMatch(other -> other.parent == fill.parent && other.attempt.target != target);
    }

    /**
     * Reports the load of this router's zone and the free capacity of each parent's link. Both are extrapolated from
     * this router, assuming that all routers carry the same load.
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
            // The leader receives the fills of its region, any other parent those of all routers that select it
            // themselves.
            int routers = 1 + (leader != null && leader.parent() == parent.id() ? otherRoutersOfRegion : otherRouters);
            double utilization = transfersOfParent == null
                    ? 0
                    : transfersOfParent.at(now) / seconds * routers / parent.linkCapacity();
            region.setFreeLinkShare(parent.id(), Math.max(0, 1 - utilization));
        }
    }

    // ---------------------------------------------------------------- statistics

    /** Returns the statistics of the regions by their external names; none while regions are disabled. */
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
