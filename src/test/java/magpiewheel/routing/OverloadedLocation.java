package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiewheel.region.SimulatedNetwork;
import magpiewheel.region.SlowStartProfile;

/**
 * The real routers of one zone in virtual time. Above a number of concurrent transfers at a cache or on the zone's link
 * each transfer takes longer. Records for every request its size and whether it was answered.
 */
final class OverloadedLocation {
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    private static final int ROUTERS = 3;
    private static final int CACHES = 4;
    private static final long PARENT = 101;
    private static final long ORIGIN = 201;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final double TRANSFER_KB_PER_S = 1_000;
    /** Concurrent transfers at a client's pace that one cache can carry. */
    private static final double CACHE_TRANSFERS = 8;

    /** Concurrent transfers at a client's pace that the zone's link can carry. */
    private static final double LINK_TRANSFERS = 20;

    private static final int OBJECTS = 3_000;
    /** The rank of a requested object is a uniform draw to this power, so that low ranks are more frequent. */
    private static final double POPULARITY_EXPONENT = 3;
    /** Share of the objects of which one random cache has a copy at the start. */
    private static final double INITIALLY_CACHED_SHARE = 0.7;

    private static final double SIZE_SIGMA = 1;

    /** A request class, its share of all requests and the mean transfer time of its objects. */
    record TrafficClass(
            double share, long meanTransferUs, long latencyObjectiveUs, long deadlineUs, double priorityWeight) {}

    /** The final answer to a request: whether it was served or else rejected or failed. */
    private record FinalAnswer(int trafficClass, double transferUs, boolean answered) {}

    private final class SimulatedRouter extends NoOpActions {
        final RequestRouter router;
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, RoutingRequest> requests = new HashMap<>();
        final int routerId;

        SimulatedRouter(int routerId) {
            this.routerId = routerId;
            RoutingSettings settings = settings(routerId);
            RouterTopology topology = settings.topology();
            router = new RequestRouter(
                    settings,
                    net.random.nextLong(),
                    this,
                    topology.membershipConfig(0, 100 * MS, 0, false),
                    null,
                    false);
            router.endpointsChanged(clock(), EndpointListMode.CACHED, endpoints());
            router.setServing(clock(), true);
        }

        void submit(RoutingRequest request) {
            requests.put(request.id(), request);
            router.requestArrived(clock(), request);
        }

        @Override
        public void startAttempt(long id, long node, AttemptPlan plan) {
            int index = attempts.merge(id, 1, Integer::sum) - 1;
            RoutingRequest request = requests.get(id);
            boolean toCache = node <= CACHES;
            boolean hit = toCache && isCached(node, request.objectId());
            if (toCache && !hit && plan.fillSource() == node) {
                net.at(
                        net.now + 2 * MS,
                        () -> endAttempt(request, index, node, AttemptResult.MISS, CacheStatus.UNKNOWN, 2 * MS));
                return;
            }
            CacheStatus cacheStatus = hit ? CacheStatus.HIT : CacheStatus.FILLED;
            double slowdown = toCache ? inFlight.merge(node, 1, Integer::sum) / CACHE_TRANSFERS : 1;
            slowdown = hit ? slowdown : Math.max(slowdown, inFlight.merge(0L, 1, Integer::sum) / LINK_TRANSFERS);
            long durationUs = (long) (transferUs(request) * Math.max(1, slowdown)) + 5 * MS;
            long remainingUs = plan.deadlineUs() - clock();
            AttemptResult result = durationUs < remainingUs ? AttemptResult.OK : AttemptResult.TIMEOUT;
            net.at(net.now + Math.min(durationUs, remainingUs), () -> {
                inFlight.merge(node, toCache ? -1 : 0, Integer::sum);
                inFlight.merge(0L, hit ? 0 : -1, Integer::sum);
                if (result == AttemptResult.OK && toCache) {
                    cachedCopies.add(copyKey(node, request.objectId()));
                }
                endAttempt(
                        request,
                        index,
                        node,
                        result,
                        result == AttemptResult.OK ? cacheStatus : CacheStatus.UNKNOWN,
                        Math.min(durationUs, remainingUs));
            });
        }

        private void endAttempt(
                RoutingRequest request,
                int index,
                long node,
                AttemptResult result,
                CacheStatus cacheStatus,
                long durationUs) {
            boolean served = result == AttemptResult.OK;
            if (served) {
                recordFinalAnswer(request.id(), true);
            }
            router.attemptEnded(
                    clock(),
                    AttemptOutcome.builder(request.id(), index, node, result)
                            .durationUs(durationUs)
                            .requestCompleted(served)
                            .cacheStatus(cacheStatus)
                            .firstByteUs(5 * MS)
                            .build());
        }

        private void recordFinalAnswer(long id, boolean answered) {
            RoutingRequest request = requests.get(id);
            if (request != null && attempts.put(-id, 1) == null) {
                finalAnswers.add(new FinalAnswer(request.requestClass(), transferUs(request), answered));
            }
        }

        @Override
        public void reject(long request, long backoffUs) {
            recordFinalAnswer(request, false);
        }

        @Override
        public void fail(long request) {
            recordFinalAnswer(request, false);
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
            net.at(atUs - START_US, () -> router.timerExpired(clock(), handle));
        }
    }

    private final List<TrafficClass> trafficClasses;
    private final SimulatedNetwork net;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final Map<Long, Double> transferUsByObject = new HashMap<>();
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final Set<Long> cachedCopies = new HashSet<>();
    private final List<FinalAnswer> finalAnswers = new ArrayList<>();
    private long lastRequest;

    OverloadedLocation(long seed, List<TrafficClass> trafficClasses) {
        this.trafficClasses = trafficClasses;
        net = new SimulatedNetwork(seed, ROUTERS, 0.05, 0.01);
        for (long object = 0; object < OBJECTS * trafficClasses.size(); object++) {
            if (net.random.nextDouble() < INITIALLY_CACHED_SHARE) {
                cachedCopies.add(copyKey(1 + net.random.nextInt(CACHES), object + 1));
            }
        }
        for (int routerId = 0; routerId < ROUTERS; routerId++) {
            routers.add(new SimulatedRouter(routerId));
        }
    }

    /** Runs until {@code endUs} with a request rate of {@code load} times the caches' capacity. */
    OverloadedLocation run(long endUs, double load) {
        double meanTransferUs = trafficClasses.stream()
                .mapToDouble(traffic -> traffic.share() * traffic.meanTransferUs())
                .sum();
        long intervalUs = (long) (meanTransferUs / (load * CACHES * CACHE_TRANSFERS));
        net.every(0, intervalUs, this::submitRandomRequest);
        net.runUntil(endUs, () -> {});
        return this;
    }

    private void submitRandomRequest() {
        int trafficClass = 0;
        for (double draw = net.random.nextDouble();
                draw >= trafficClasses.get(trafficClass).share() && trafficClass + 1 < trafficClasses.size(); ) {
            draw -= trafficClasses.get(trafficClass++).share();
        }
        long rank = (long) (OBJECTS * Math.pow(net.random.nextDouble(), POPULARITY_EXPONENT));
        long object = 1 + rank * trafficClasses.size() + trafficClass;
        double meanTransferUs = trafficClasses.get(trafficClass).meanTransferUs();
        double transferUs = transferUsByObject.computeIfAbsent(
                object, key -> ObjectSizes.lognormal(net.random, meanTransferUs, SIZE_SIGMA));
        RoutingRequest request = RoutingRequest.builder(++lastRequest, trafficClass, object)
                .group(5)
                .sizeKb(transferUs / SECOND * TRANSFER_KB_PER_S)
                .build();
        routers.get(net.random.nextInt(ROUTERS)).submit(request);
    }

    private boolean isCached(long cache, long object) {
        return cachedCopies.contains(copyKey(cache, object));
    }

    private static long copyKey(long cache, long object) {
        return object * (CACHES + 1) + cache;
    }

    private static double transferUs(RoutingRequest request) {
        return request.sizeKb() / TRANSFER_KB_PER_S * SECOND;
    }

    /** Returns the share of answered requests of a class between two quantiles of size, from 0 (smallest) to 1. */
    double answeredShare(int trafficClass, double fromRank, double toRank) {
        List<FinalAnswer> bySize = finalAnswers.stream()
                .filter(answer -> answer.trafficClass() == trafficClass)
                .sorted(Comparator.comparingDouble(FinalAnswer::transferUs))
                .toList();
        List<FinalAnswer> part = bySize.subList((int) (fromRank * bySize.size()), (int) (toRank * bySize.size()));
        return part.stream().filter(FinalAnswer::answered).count() / (double) part.size();
    }

    private long clock() {
        return START_US + net.now;
    }

    private static List<EndpointInfo> endpoints() {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (long id = 1; id <= CACHES; id++) {
            endpoints.add(EndpointInfo.builder(id, 0, 0).weight(CACHE_TRANSFERS).build());
        }
        endpoints.add(
                EndpointInfo.builder(PARENT, 1, 1).weight(4 * CACHE_TRANSFERS).build());
        endpoints.add(EndpointInfo.builder(ORIGIN, 2, 1).weight(0).build());
        return endpoints;
    }

    private RoutingSettings settings(int routerId) {
        List<RequestClass> requestClasses = trafficClasses.stream()
                .map(traffic -> RequestClass.builder(traffic.latencyObjectiveUs(), traffic.deadlineUs())
                        .transferTimeFactor(2)
                        .priorityWeight(traffic.priorityWeight())
                        .latePriorityWeight(0.2)
                        .stalePriorityWeight(0.5)
                        .build())
                .toList();
        double linkKbPerS = LINK_TRANSFERS * TRANSFER_KB_PER_S;
        return RoutingSettings.builder(
                        RouterTopology.builder(routerId, ROUTERS, 0)
                                .routersByZone(new int[] {ROUTERS, 0})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {linkKbPerS, 0})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(TRANSFER_KB_PER_S)
                                .build(),
                        requestClasses,
                        SimulatedSite.limits(8).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 12 * SECOND, 3, SECOND),
                                new SlowStartProfile(0.1, 12 * SECOND, 2, SECOND)))
                .overQuotaPriorityWeight(0)
                .mayBypassCaches(true)
                .detailedCacheStatus(true)
                .weightSource(WeightSource.ROUGH)
                .build();
    }
}
