package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.region.SimulatedNetwork;
import magpiewheel.region.SlowStartProfile;
import magpiewheel.support.Fingerprint;

/**
 * Many real routers in virtual time, and one endpoint that has just started. Records all requests that reach this
 * endpoint from any router, and compares them with the load that the settings permit for a warming endpoint.
 */
final class WarmingFleet {
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    static final long CACHE = 1;
    static final long PARENT = 101;
    private static final long ORIGIN = 201;
    private static final int CACHES = 4;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final double TRANSFER_KB_PER_S = 1_000;
    private static final double CACHE_INITIAL_SHARE = 0.2;
    private static final double PARENT_INITIAL_SHARE = 0.1;
    private static final long WARM_UP_US = 12 * SECOND;
    private static final double CACHE_OVERLOAD_MULTIPLE = 3;
    private static final double PARENT_OVERLOAD_MULTIPLE = 2;
    private static final long OVERLOAD_WINDOW_US = 3 * SECOND;
    /** Mean transfer times of the two request classes, which are equally frequent. */
    private static final double[] MEAN_TRANSFER_US = {300 * MS, 60 * MS};

    /** Sigma of the lognormal distribution of sizes within a class. */
    private static final double SIZE_SIGMA = 1.2;

    /**
     * The conditions of a run.
     *
     * @param warmingEndpoint the id of the endpoint that starts as the run begins
     * @param sizesKnown whether requests carry the size of their object
     * @param otherCachesFail whether attempts at all other caches fail
     * @param routersRestart whether each router restarts once, in one of ten steps that begin after a second
     * @param endpointListFlaps whether the endpoint is missing from the endpoint list for a moment, five times a second
     */
    record Scenario(
            long seed,
            int routers,
            long warmingEndpoint,
            double endpointWeight,
            boolean sizesKnown,
            boolean otherCachesFail,
            boolean routersRestart,
            boolean endpointListFlaps) {
        static Scenario of(long seed, int routers, long warmingEndpoint) {
            return new Scenario(seed, routers, warmingEndpoint, 4, true, false, false, false);
        }

        Scenario withEndpointWeight(double endpointWeight) {
            return new Scenario(
                    seed,
                    routers,
                    warmingEndpoint,
                    endpointWeight,
                    sizesKnown,
                    otherCachesFail,
                    routersRestart,
                    endpointListFlaps);
        }

        Scenario withUnknownSizes() {
            return new Scenario(
                    seed,
                    routers,
                    warmingEndpoint,
                    endpointWeight,
                    false,
                    otherCachesFail,
                    routersRestart,
                    endpointListFlaps);
        }

        Scenario withOtherCachesFailing() {
            return new Scenario(
                    seed,
                    routers,
                    warmingEndpoint,
                    endpointWeight,
                    sizesKnown,
                    true,
                    routersRestart,
                    endpointListFlaps);
        }

        Scenario withRouterRestarts() {
            return new Scenario(
                    seed,
                    routers,
                    warmingEndpoint,
                    endpointWeight,
                    sizesKnown,
                    otherCachesFail,
                    true,
                    endpointListFlaps);
        }

        Scenario withFlappingEndpointList() {
            return new Scenario(
                    seed, routers, warmingEndpoint, endpointWeight, sizesKnown, otherCachesFail, routersRestart, true);
        }
    }

    /** The arrival of a request at the warming endpoint, as an attempt or as a fill. */
    record Arrival(long atUs, int requestClass) {}

    private final class SimulatedRouter extends NoOpActions {
        final int routerId;
        final RequestRouter router;
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, RoutingRequest> requests = new HashMap<>();
        boolean running = true;

        SimulatedRouter(int routerId) {
            this.routerId = routerId;
            RoutingSettings settings = settings(routerId);
            router = new RequestRouter(
                    settings,
                    net.random.nextLong(),
                    new FingerprintedActions(this, actions, routerId, () -> net.now),
                    settings.topology().membershipConfig(0, 100 * MS, Math.max(1, clock() / MS), false),
                    null,
                    false);
            router.endpointsChanged(clock(), EndpointListMode.CACHED, endpoints(true));
            router.setServing(clock(), true);
        }

        void submit(RoutingRequest request) {
            requests.put(request.id(), request);
            router.requestArrived(clock(), request);
        }

        @Override
        public void startAttempt(long request, long node, AttemptPlan plan) {
            int index = attempts.merge(request, 1, Integer::sum) - 1;
            RoutingRequest routingRequest = requests.get(request);
            long arrivalUs = net.now + 200 + net.random.nextLong(2 * MS);
            if (node == scenario.warmingEndpoint || plan.fillSource() == scenario.warmingEndpoint) {
                arrivals.add(new Arrival(arrivalUs, routingRequest.requestClass()));
            }
            boolean fails = scenario.otherCachesFail && node != scenario.warmingEndpoint && node <= CACHES;
            long durationUs = fails ? MS : transferUs(routingRequest) + 5 * MS;
            CacheStatus cacheStatus = fails || plan.fillSource() == node ? CacheStatus.UNKNOWN : CacheStatus.HIT;
            AttemptResult result = fails ? AttemptResult.UNREACHABLE : AttemptResult.OK;
            net.at(arrivalUs + durationUs, () -> {
                if (running) {
                    router.attemptEnded(
                            clock(),
                            AttemptOutcome.builder(request, index, node, result)
                                    .durationUs(durationUs)
                                    .requestCompleted(!fails)
                                    .cacheStatus(cacheStatus)
                                    .firstByteUs(5 * MS)
                                    .build());
                }
            });
        }

        @Override
        public void sendToPeer(int recipient, byte[] message) {
            net.send(
                    routerId,
                    recipient,
                    message,
                    (to, from, bytes) -> routers.get(to).router.peerMessageReceived(clock(), from, bytes));
        }

        @Override
        public void setTimer(long atUs, long handle) {
            net.at(atUs - START_US, () -> {
                if (running) {
                    router.timerExpired(clock(), handle);
                }
            });
        }
    }

    final Fingerprint actions = new Fingerprint();
    final List<Arrival> arrivals = new ArrayList<>();
    private final Scenario scenario;
    private final SimulatedNetwork net;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final Map<Long, Double> transferUsByObject = new HashMap<>();
    private final Map<Long, Long> transferUsByRequest = new HashMap<>();
    private long lastRequest;

    /** Creates a fleet whose warming endpoint starts as the run begins; a tenth of the peer datagrams are lost. */
    WarmingFleet(Scenario scenario) {
        this.scenario = scenario;
        net = new SimulatedNetwork(scenario.seed(), scenario.routers(), 0.1, 0.02);
        for (int routerId = 0; routerId < scenario.routers(); routerId++) {
            routers.add(new SimulatedRouter(routerId));
        }
    }

    private long clock() {
        return START_US + net.now;
    }

    private List<EndpointInfo> endpoints(boolean withWarmingEndpoint) {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (long id = CACHE; id <= CACHES; id++) {
            endpoints.add(endpoint(id, 0));
        }
        endpoints.add(endpoint(PARENT, 1));
        endpoints.add(endpoint(PARENT + 1, 1));
        endpoints.add(endpoint(ORIGIN, 2));
        endpoints.removeIf(member -> !withWarmingEndpoint && member.id() == scenario.warmingEndpoint);
        return endpoints;
    }

    private EndpointInfo endpoint(long id, int kind) {
        long startedUs = id == scenario.warmingEndpoint ? START_US : 0;
        return EndpointInfo.builder(id, kind, 0)
                .startedUs(startedUs)
                .weight(scenario.endpointWeight)
                .build();
    }

    /** Runs until {@code endUs} with this request rate at each router; all routers request the same few objects. */
    WarmingFleet run(long endUs, int requestsPerSecond) {
        long intervalUs = SECOND / requestsPerSecond;
        for (int index = 0; index < scenario.routers(); index++) {
            int routerId = index;
            net.every(net.random.nextLong(intervalUs), intervalUs, () -> submitRandomRequest(routerId));
        }
        for (int index = 0; scenario.routersRestart && index < scenario.routers(); index++) {
            int routerId = index;
            net.at(SECOND + routerId % 10 * 250 * MS, () -> restart(routerId));
        }
        if (scenario.endpointListFlaps) {
            net.every(SECOND, SECOND / 5, () -> {
                routers.forEach(simulated ->
                        simulated.router.endpointsChanged(clock(), EndpointListMode.FULL, endpoints(false)));
                routers.forEach(simulated ->
                        simulated.router.endpointsChanged(clock(), EndpointListMode.FULL, endpoints(true)));
            });
        }
        net.runUntil(endUs, () -> {});
        return this;
    }

    private void restart(int routerId) {
        routers.get(routerId).running = false;
        routers.set(routerId, new SimulatedRouter(routerId));
    }

    private void submitRandomRequest(int routerId) {
        int requestClass = net.random.nextInt(2);
        long object = 1 + net.random.nextInt(2_000);
        double transferUs = transferUsByObject.computeIfAbsent(
                2 * object + requestClass,
                key -> ObjectSizes.lognormal(net.random, MEAN_TRANSFER_US[requestClass], SIZE_SIGMA));
        double sizeKb = transferUs / SECOND * TRANSFER_KB_PER_S;
        RoutingRequest request = RoutingRequest.builder(++lastRequest, requestClass, 2 * object + requestClass)
                .group(5)
                .sizeKb(scenario.sizesKnown ? sizeKb : 0)
                .build();
        transferUsByRequest.put(request.id(), (long) transferUs);
        routers.get(routerId).submit(request);
    }

    private long transferUs(RoutingRequest request) {
        return transferUsByRequest.get(request.id());
    }

    /**
     * Returns by how many requests of mean size the worst overload window exceeds the permitted N + 2 sqrt(N) + 2,
     * where N are the requests that the endpoint tolerates in that window. Negative if no window exceeds it.
     */
    double worstExcessRequests() {
        double meanTransferUs = (MEAN_TRANSFER_US[0] + MEAN_TRANSFER_US[1]) / 2;
        double worst = Double.NEGATIVE_INFINITY;
        List<Arrival> sortedArrivals = new ArrayList<>(arrivals);
        sortedArrivals.sort(Comparator.comparingLong(Arrival::atUs));
        double requests = 0;
        int windowStart = 0;
        for (Arrival last : sortedArrivals) {
            requests += MEAN_TRANSFER_US[last.requestClass()] / meanTransferUs;
            while (sortedArrivals.get(windowStart).atUs() <= last.atUs() - OVERLOAD_WINDOW_US) {
                requests -= MEAN_TRANSFER_US[sortedArrivals.get(windowStart++).requestClass()] / meanTransferUs;
            }
            double permittedRequests = permittedWorkUs(last.atUs()) / meanTransferUs;
            worst = Math.max(
                    worst,
                    last.atUs() < WARM_UP_US
                            ? requests - (permittedRequests + 2 * Math.sqrt(permittedRequests) + 2)
                            : worst);
        }
        return worst;
    }

    /**
     * Returns the work, us of transfer time, that the endpoint tolerates in the window that ends at {@code endUs}; the
     * capacity at the beginning of the window counts.
     */
    private double permittedWorkUs(long endUs) {
        boolean parent = scenario.warmingEndpoint == PARENT;
        double initialShare = parent ? PARENT_INITIAL_SHARE : CACHE_INITIAL_SHARE;
        double currentShare = initialShare + (1 - initialShare) * Math.max(0, endUs - OVERLOAD_WINDOW_US) / WARM_UP_US;
        return (parent ? PARENT_OVERLOAD_MULTIPLE : CACHE_OVERLOAD_MULTIPLE)
                * currentShare
                * scenario.endpointWeight
                * OVERLOAD_WINDOW_US;
    }

    private RoutingSettings settings(int routerId) {
        return RoutingSettings.builder(
                        RouterTopology.builder(routerId, scenario.routers, 0)
                                .routersByZone(new int[] {scenario.routers})
                                .hubByZone(new int[] {0})
                                .linkKbPerSByZone(new double[] {50 * TRANSFER_KB_PER_S})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(TRANSFER_KB_PER_S)
                                .build(),
                        List.of(requestClass(600 * MS), requestClass(400 * MS)),
                        SimulatedSite.limits(8).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(
                                        CACHE_INITIAL_SHARE, WARM_UP_US, CACHE_OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US),
                                new SlowStartProfile(
                                        PARENT_INITIAL_SHARE,
                                        WARM_UP_US,
                                        PARENT_OVERLOAD_MULTIPLE,
                                        OVERLOAD_WINDOW_US)))
                .overQuotaPriorityWeight(0)
                .cachesJoinFills(true)
                .mayBypassCaches(true)
                .detailedCacheStatus(true)
                .weightSource(WeightSource.NOMINAL)
                .build();
    }

    private static RequestClass requestClass(long latencyObjectiveUs) {
        return RequestClass.builder(latencyObjectiveUs, 6 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .stalePriorityWeight(0.5)
                .build();
    }
}
