package magpiewheel.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import magpiewheel.region.Leader;
import magpiewheel.region.Parent;
import magpiewheel.region.RegionCoordinator;
import magpiewheel.region.RouteReason;

/**
 * Between the module and its regions: turns nodes into parents, measures what the own branch fills and keeps which
 * answers of parents are overdue. Work is counted in transfers that take the whole time in which a cold node falls,
 * load in transfers at once. It decides nothing about a request; where regions are off nothing here does anything.
 */
final class RegionBridge {
    /** us; load and room are measured over so long, and looked at so often. */
    private static final long MEASURED_US = 2_000_000;

    private static final long REPORT_INTERVAL_US = 500_000;
    /**
     * us; an answer is overdue that takes so much longer than its sending time and the parent's usual wait, both twice:
     * what the module calls silent. A parent that waits for a slow origin does not hang.
     */
    private static final long OVERDUE_US = 400_000;

    private static final double USUAL_WAIT_FACTOR = 2;
    private static final double SECOND_US = 1e6;

    /** A fill that a parent owes an answer. */
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
    private final RouterTopology place;
    private final double windowUs;
    private final PriorityQueue<PendingFill> pendingFills =
            new PriorityQueue<>(Comparator.comparingLong(fill -> fill.dueAt));
    private final List<PendingFill> overdueFills = new ArrayList<>();
    private final SlidingWindowSum filledTransfers = new SlidingWindowSum(MEASURED_US);
    private final Map<Long, SlidingWindowSum> sentTransfers = new HashMap<>();
    private List<Parent> parents = List.of();
    private long nextReportAt = Long.MAX_VALUE;

    RegionBridge(FleetProtocols fleet, RoutingSettings settings) {
        this.fleet = fleet;
        this.place = settings.topology();
        this.windowUs = settings.safetyLimits().overloadWindowUs() > 0
                ? settings.safetyLimits().overloadWindowUs()
                : SECOND_US;
    }

    /** The list as it stands; the function tells how many transfers at once a node bears. */
    void endpointsChanged(long now, Collection<Endpoint> nodes, ToDoubleFunction<Endpoint> capacity) {
        RegionCoordinator region = fleet.region();
        if (region == null) {
            return;
        }
        if (nextReportAt == Long.MAX_VALUE) {
            nextReportAt = now + REPORT_INTERVAL_US;
            fleet.add(new FleetProtocols.PeerProtocol(
                    message -> false, (at, sender, message) -> {}, this::due, this::tick));
        }
        parents = nodes.stream()
                .filter(node -> node.id != 0 && node.state != EndpointState.REMOVED && node.isParent())
                .map(node -> {
                    double bears = capacity.applyAsDouble(node);
                    return new Parent(
                            node.id,
                            node.info.zone(),
                            bears,
                            bears,
                            node.info.startedUs(),
                            node.state == EndpointState.DRAINING);
                })
                .toList();
        sentTransfers.keySet().retainAll(parents.stream().map(Parent::id).toList());
        region.parents(now, parents);
        fleet.scheduleTimer(now);
    }

    /** The one of these parents that leads for an object of this branch, or null. */
    Endpoint leaderAmong(long now, List<Endpoint> fit, long object, double workUs) {
        RegionCoordinator region = fleet.region();
        Leader leader = region == null ? null : region.leaderFor(now, place.zone(), object, workUs / windowUs);
        return leader == null
                ? null
                : fit.stream()
                        .filter(node -> node.id == leader.parent())
                        .findFirst()
                        .orElse(null);
    }

    /** Whether a miss goes up now. */
    boolean admitsFill(long now, long object, double workUs) {
        return fleet.region() == null || fleet.region().letsUp(now, object, workUs / windowUs);
    }

    /** An attempt goes out that may become a fill; {@code ownUs} is its own sending time. */
    void attemptStarted(long now, Attempt attempt, long object, double workUs, double ownUs) {
        RegionCoordinator region = fleet.region();
        if (region == null || attempt.fillProbability <= 0) {
            return;
        }
        double amount = attempt.fillProbability * ownUs / SECOND_US;
        filledTransfers.add(now, amount);
        Endpoint parent = parentOf(attempt);
        if (parent != null) {
            region.began(now, parent.id, object, workUs / windowUs, amount);
            sentTransfers
                    .computeIfAbsent(parent.id, id -> new SlidingWindowSum(MEASURED_US))
                    .add(now, amount);
            pendingFills.add(new PendingFill(
                    attempt,
                    parent,
                    now + OVERDUE_US + (long) (USUAL_WAIT_FACTOR * (ownUs + parent.fillLatency.or(now, 0)))));
            fleet.scheduleTimer(now);
        }
    }

    /** The parent that serves an attempt, or that fills for it; null where it is neither. */
    private Endpoint parentOf(Attempt attempt) {
        return attempt.target.isParent() ? attempt.target : attempt.source.isParent() ? attempt.source : null;
    }

    /** Such an attempt has ended. */
    void attemptEnded(long now, Attempt attempt, long object, AttemptOutcome outcome, double ownUs) {
        RegionCoordinator region = fleet.region();
        if (region == null || attempt.fillProbability <= 0) {
            return;
        }
        Endpoint parent = parentOf(attempt);
        boolean past = parent == attempt.target;
        CacheStatus note = outcome.cacheStatus();
        boolean ok = past
                ? outcome.result() == AttemptResult.OK
                : note == CacheStatus.FILLED || note == CacheStatus.FILLED_BY_ORIGIN || note == CacheStatus.SOURCE_MISS;
        boolean refused = past
                ? outcome.result() == AttemptResult.ERROR || outcome.result() == AttemptResult.REJECTED
                : note == CacheStatus.SOURCE_REJECTED;
        boolean silent = past ? outcome.result() == AttemptResult.UNREACHABLE : note == CacheStatus.SOURCE_UNREACHABLE;
        if (parent != null && (ok || refused)) {
            region.answered(
                    now,
                    parent.id,
                    object,
                    (long) outcome.waitUs(ownUs),
                    ok,
                    note == (past ? CacheStatus.HIT : CacheStatus.FILLED));
        } else {
            region.ended(object, outcome.result() == AttemptResult.OK);
            if (parent != null && silent) {
                region.overdue(now, parent.id, attempt.sentAt);
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
        ArrayDeque<PendingFill> fresh = new ArrayDeque<>();
        while (due(now) <= now && !pendingFills.isEmpty() && pendingFills.peek().dueAt <= now) {
            fresh.add(pendingFills.poll());
        }
        overdueFills.removeIf(fill -> !fill.attempt.open);
        overdueFills.addAll(fresh);
        for (PendingFill fill : overdueFills) {
            if (!fill.reported && atFault(fill)) {
                fill.reported = true;
                fleet.region().overdue(now, fill.parent.id, fill.attempt.sentAt);
            }
        }
        if (now >= nextReportAt) {
            nextReportAt = now + REPORT_INTERVAL_US;
            reportLoad(now);
        }
    }

    /** Whether the silence is the parent's: its cache speaks, or a second one is silent for the same parent. */
    private boolean atFault(PendingFill fill) {
        Endpoint target = fill.attempt.target;
        return target == fill.parent
                || target.lastAnsweredAt >= fill.attempt.sentAt
                || overdueFills.stream()
                        .anyMatch(other -> other.parent == fill.parent && other.attempt.target != target);
    }

    /** Tells what the own branch fills, taking its fronts to be alike, and what is free of each parent's link. */
    private void reportLoad(long now) {
        RegionCoordinator region = fleet.region();
        double seconds = MEASURED_US / SECOND_US;
        region.load(
                now,
                filledTransfers.at(now)
                        / seconds
                        * (1 + fleet.membershipView().heardIn(place.zone()).size()));
        Leader leader = region.leader(now);
        int others = fleet.membershipView().heard().size();
        int company = region.region() == null
                ? others
                : region.region().branches().stream()
                        .mapToInt(
                                branch -> fleet.membershipView().heardIn(branch).size())
                        .sum();
        for (Parent parent : parents) {
            SlidingWindowSum its = sentTransfers.get(parent.id());
            // The leader gets its region's fills, another parent those of all that go by the old way.
            int fronts = 1 + (leader != null && leader.parent() == parent.id() ? company : others);
            double use = its == null ? 0 : its.at(now) / seconds * fronts / parent.carries();
            region.room(parent.id(), Math.max(0, 1 - use));
        }
    }

    // ---------------------------------------------------------------- figures

    /** What operators are shown, by name; nothing where regions are off. */
    Map<String, Long> statistics(long now) {
        RegionCoordinator region = fleet.region();
        Map<String, Long> all = new LinkedHashMap<>();
        if (region == null) {
            return all;
        }
        Leader leader = region.leader(now);
        all.put("region_verdict", (long) region.verdict(now).ordinal());
        all.put("region_leader", leader == null ? 0 : leader.parent());
        all.put("region_term", leader == null ? 0 : leader.term());
        all.put(
                "region_branches",
                region.region() == null ? 0 : (long) region.region().branches().size());
        for (RouteReason why : RouteReason.values()) {
            all.put("region_" + why.name().toLowerCase(Locale.ROOT), region.answers(why));
        }
        all.put("region_paced", region.held());
        return all;
    }
}
