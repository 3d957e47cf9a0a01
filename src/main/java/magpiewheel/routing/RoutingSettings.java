package magpiewheel.routing;

import java.util.List;
import magpiewheel.region.RegionConfig;

/**
 * The settings of a site that the routing decisions depend on.
 *
 * @param overQuotaPriorityWeight the priority weight of requests beyond their tenant's quota
 * @param mustSubscribe whether discovery sends changes only after a subscription
 * @param cachesJoinFills whether a cache lets a request join a fill in flight
 * @param mayBypassCaches whether routers may send requests to parents and the origin directly
 * @param detailedCacheStatus whether caches report how they handled a miss, and not only hits
 * @param loadMetrics the meaning of each value of a load report, in the order of the report
 * @param maxObjectRecords the maximum number of objects whose holder is remembered
 */
public record RoutingSettings(
        RouterTopology topology,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        double overQuotaPriorityWeight,
        RequestLimits limits,
        SafetyLimits safetyLimits,
        boolean mustSubscribe,
        SiblingFills siblingFills,
        boolean cachesJoinFills,
        boolean mayBypassCaches,
        boolean detailedCacheStatus,
        WeightSource weightSource,
        List<LoadMetric> loadMetrics,
        int maxObjectRecords) {
    /** Overload window in microseconds where the settings specify none. */
    private static final long DEFAULT_OVERLOAD_WINDOW_US = 1_000_000;
    /** Work per second, in transfers that last one overload window, of an origin whose capacity is unknown. */
    private static final double UNLIMITED_WORK_PER_S = 1e9;

    /** Returns the same settings with at most this many requests in flight, and this many objects remembered. */
    public RoutingSettings within(int maxInFlight, int maxRecords) {
        return new RoutingSettings(
                topology,
                requestClasses,
                tenants,
                overQuotaPriorityWeight,
                limits.withMaxInFlight(Math.min(limits.maxInFlight(), maxInFlight)),
                safetyLimits,
                mustSubscribe,
                siblingFills,
                cachesJoinFills,
                mayBypassCaches,
                detailedCacheStatus,
                weightSource,
                loadMetrics,
                Math.min(maxObjectRecords, maxRecords));
    }

    /** Returns the longest deadline of all request classes, us; 0 without classes. */
    long longestDeadlineUs() {
        return requestClasses.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /**
     * Returns the configuration of this router's regions; null where there are no parents, the router's zone has no hub
     * or routers may not send messages to each other.
     *
     * @param startedMs the Unix millisecond at which this process started
     * @param originTransfers the number of concurrent transfers that the origin can carry; 0 where it is unknown
     */
    public RegionConfig regionConfig(long startedMs, int originTransfers) {
        int[] hubs = topology.hubByZone();
        if (topology.parentKind() < 0
                || !limits.mayMessagePeers()
                || topology.zone() < 0
                || topology.zone() >= hubs.length) {
            return null;
        }
        long windowUs =
                safetyLimits.overloadWindowUs() > 0 ? safetyLimits.overloadWindowUs() : DEFAULT_OVERLOAD_WINDOW_US;
        // Loads start at 0: an estimate that is too low is corrected before much load has moved to a leader.
        return new RegionConfig(
                topology.routerId(),
                topology.zone(),
                topology.routersByZone(),
                hubs,
                new double[hubs.length],
                safetyLimits.parentSlowStart().withOverloadWindow(windowUs),
                originTransfers > 0 ? originTransfers * 1e6 / windowUs : UNLIMITED_WORK_PER_S,
                startedMs);
    }

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(
            RouterTopology topology,
            List<RequestClass> requestClasses,
            RequestLimits limits,
            SafetyLimits safetyLimits) {
        return new Builder(topology, requestClasses, limits, safetyLimits);
    }

    /** Builder of {@link RoutingSettings}; not thread-safe. */
    public static final class Builder {
        private final RouterTopology topology;
        private final List<RequestClass> requestClasses;
        private final RequestLimits limits;
        private final SafetyLimits safetyLimits;
        private List<Tenant> tenants = List.of();
        private double overQuotaPriorityWeight = 1;
        private boolean mustSubscribe;
        private SiblingFills siblingFills = SiblingFills.OFF;
        private boolean cachesJoinFills;
        private boolean mayBypassCaches;
        private boolean detailedCacheStatus;
        private WeightSource weightSource = WeightSource.OFF;
        private List<LoadMetric> loadMetrics = List.of();

        private Builder(
                RouterTopology topology,
                List<RequestClass> requestClasses,
                RequestLimits limits,
                SafetyLimits safetyLimits) {
            this.topology = topology;
            this.requestClasses = requestClasses;
            this.limits = limits;
            this.safetyLimits = safetyLimits;
        }

        /** Sets {@link RoutingSettings#tenants}. */
        public Builder tenants(List<Tenant> value) {
            tenants = value;
            return this;
        }

        /** Sets {@link RoutingSettings#overQuotaPriorityWeight}. */
        public Builder overQuotaPriorityWeight(double value) {
            overQuotaPriorityWeight = value;
            return this;
        }

        /** Sets {@link RoutingSettings#mustSubscribe}. */
        public Builder mustSubscribe(boolean value) {
            mustSubscribe = value;
            return this;
        }

        /** Sets {@link RoutingSettings#siblingFills}. */
        public Builder siblingFills(SiblingFills value) {
            siblingFills = value;
            return this;
        }

        /** Sets {@link RoutingSettings#cachesJoinFills}. */
        public Builder cachesJoinFills(boolean value) {
            cachesJoinFills = value;
            return this;
        }

        /** Sets {@link RoutingSettings#mayBypassCaches}. */
        public Builder mayBypassCaches(boolean value) {
            mayBypassCaches = value;
            return this;
        }

        /** Sets {@link RoutingSettings#detailedCacheStatus}. */
        public Builder detailedCacheStatus(boolean value) {
            detailedCacheStatus = value;
            return this;
        }

        /** Sets {@link RoutingSettings#weightSource}. */
        public Builder weightSource(WeightSource value) {
            weightSource = value;
            return this;
        }

        /** Sets {@link RoutingSettings#loadMetrics}. */
        public Builder loadMetrics(List<LoadMetric> value) {
            loadMetrics = value;
            return this;
        }

        /** Returns the routing settings. */
        public RoutingSettings build() {
            return new RoutingSettings(
                    topology,
                    requestClasses,
                    tenants,
                    overQuotaPriorityWeight,
                    limits,
                    safetyLimits,
                    mustSubscribe,
                    siblingFills,
                    cachesJoinFills,
                    mayBypassCaches,
                    detailedCacheStatus,
                    weightSource,
                    loadMetrics,
                    HolderTable.MAX_OBJECTS);
        }
    }
}
