package magpiewheel.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import magpiewheel.region.SimulatedNetwork;
import magpiewheel.region.SlowStartProfile;
import magpiewheel.support.Fingerprint;

/**
 * Four zones of two real routers each, in virtual time, on a network that delays, duplicates and loses datagrams.
 * Caches, parents and the origin are simulated: caches and parents join fills in progress, any of them can hang, and
 * the origin counts the fetches of each object. Tests check what these and the clients observe.
 */
final class RegionalFleetWorld {
    static final int ROUTERS = 8;
    static final int ROUTER_ZONES = 4;
    static final int HUB_ZONE = ROUTER_ZONES;
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    static final long ORIGIN = 201;
    static final long PARENT_ID_OFFSET = 100;
    /** Transfer time of each object at the pace of a client. */
    static final long TRANSFER_US = 10 * MS;

    /** Time after which routers take a response of a parent as overdue. */
    static final long RESPONSE_OVERDUE_US = 400 * MS + 2 * TRANSFER_US;

    private static final long START_US = 1_800_000_000_000_000L;
    private static final int CACHES_PER_ZONE = 3;

    /** A simulated cache or parent. */
    private final class SimulatedCache {
        final long id;
        final Set<Long> cachedObjects = new HashSet<>();
        final Map<Long, List<Consumer<CacheStatus>>> waitingByObject = new HashMap<>();
        boolean hung;

        SimulatedCache(long id) {
            this.id = id;
        }

        /**
         * Requests an object, and reports the cache status of the response to the callback. If {@code source} is this
         * cache, a missing object is not filled but reported as a miss. A hung cache never responds.
         */
        void request(long object, long source, Consumer<CacheStatus> callback) {
            if (hung) {
                return;
            }
            Consumer<CacheStatus> respond = status -> {
                if (!hung) {
                    callback.accept(status);
                }
            };
            if (cachedObjects.contains(object)) {
                net.at(net.now + 2 * MS + net.random.nextLong(2 * MS), () -> respond.accept(CacheStatus.HIT));
            } else if (source == id) {
                CacheStatus missStatus = !cachesJoinFills && waitingByObject.containsKey(object)
                        ? CacheStatus.COALESCED
                        : CacheStatus.SOURCE_MISS;
                net.at(net.now + 2 * MS, () -> respond.accept(missStatus));
            } else if (waitingByObject.containsKey(object)) {
                waitingByObject.get(object).add(respond);
            } else {
                waitingByObject.put(object, new ArrayList<>(List.of(respond)));
                Consumer<CacheStatus> completeFill = status -> {
                    cachedObjects.add(object);
                    waitingByObject.remove(object).forEach(waiting -> waiting.accept(status));
                };
                if (source == ORIGIN) {
                    originFetchesByObject.merge(object, 1, Integer::sum);
                    originFetchTimesUs.add(net.now);
                    long extraUs = (long) (-meanExtraOriginUs * Math.log(1 - net.random.nextDouble()));
                    net.at(
                            net.now + 30 * MS + net.random.nextLong(20 * MS) + extraUs,
                            () -> completeFill.accept(CacheStatus.FILLED_BY_ORIGIN));
                } else {
                    caches.get(source)
                            .request(
                                    object,
                                    ORIGIN,
                                    status -> completeFill.accept(
                                            status == CacheStatus.HIT ? CacheStatus.FILLED : status));
                }
            }
        }
    }

    /** A real router whose actions act on the simulated endpoints and network. */
    private final class SimulatedRouter extends NoOpActions {
        final int routerId;
        final RequestRouter router;
        final Map<Long, List<Boolean>> attemptsInFlight = new HashMap<>();
        final Map<Long, long[]> requests = new HashMap<>();

        SimulatedRouter(int routerId) {
            this.routerId = routerId;
            RoutingSettings settings = settings(routerId, cachesJoinFills);
            this.router = new RequestRouter(
                    settings,
                    net.random.nextLong(),
                    new FingerprintedActions(this, actions, routerId, () -> net.now),
                    settings.topology().membershipConfig(0, 50 * MS, clock() / MS, false),
                    regionsEnabled ? settings.regionConfig(clock() / MS, originTransfers) : null,
                    false);
        }

        @Override
        public void startAttempt(long request, long node, AttemptPlan plan) {
            List<Boolean> inFlight = attemptsInFlight.computeIfAbsent(request, id -> new ArrayList<>());
            int index = inFlight.size();
            inFlight.add(true);
            long startedUs = net.now;
            attempts.add(new StartedAttempt(net.now, routerId, node, plan.fillSource()));
            Consumer<CacheStatus> respond =
                    status -> endAttempt(request, index, node, startedUs, AttemptResult.OK, status);
            net.at(
                    plan.deadlineUs() - START_US,
                    () -> endAttempt(request, index, node, startedUs, AttemptResult.TIMEOUT, CacheStatus.UNKNOWN));
            long object = requests.get(request)[1];
            SimulatedCache target = caches.get(node);
            net.at(
                    net.now + MS,
                    () -> target.request(object, plan.fillSource() == node ? node : plan.fillSource(), status -> {
                        boolean miss = status == CacheStatus.SOURCE_MISS || status == CacheStatus.COALESCED;
                        endAttempt(
                                request,
                                index,
                                node,
                                startedUs,
                                miss ? AttemptResult.MISS : AttemptResult.OK,
                                status == CacheStatus.SOURCE_MISS ? CacheStatus.UNKNOWN : status);
                    }));
        }

        private void endAttempt(
                long request, int index, long node, long startedUs, AttemptResult result, CacheStatus cacheStatus) {
            if (attemptsInFlight.containsKey(request)
                    && attemptsInFlight.get(request).get(index)) {
                attemptsInFlight.get(request).set(index, false);
                if (result == AttemptResult.OK) {
                    recordAnswer(request, "served");
                }
                router.attemptEnded(
                        clock(),
                        AttemptOutcome.builder(request, index, node, result)
                                .durationUs(net.now - startedUs)
                                .requestCompleted(result == AttemptResult.OK)
                                .cacheStatus(cacheStatus)
                                .firstByteUs(net.now - startedUs)
                                .build());
            }
        }

        void recordAnswer(long request, String outcome) {
            long[] arrival = requests.get(request);
            answers.add(new Answer(arrival[0], net.now - arrival[0], routerId, outcome));
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            long node = 0;
            net.at(
                    net.now,
                    () -> endAttempt(request, attempt, node, net.now, AttemptResult.CANCELLED, CacheStatus.UNKNOWN));
        }

        @Override
        public void reject(long request, long backoffUs) {
            recordAnswer(request, backoffUs > 0 ? "rejected" : "rejected without a retry-after time");
        }

        @Override
        public void fail(long request) {
            recordAnswer(request, "failed");
        }

        @Override
        public void setTimer(long atUs, long handle) {
            net.at(atUs - START_US, () -> router.timerExpired(clock(), handle));
        }

        @Override
        public void sendToPeer(int recipient, byte[] message) {
            net.send(
                    routerId,
                    recipient,
                    message,
                    (to, from, bytes) -> routers.get(to).router.peerMessageReceived(clock(), from, bytes));
        }
    }

    /** An attempt that a router started, with the fill source that it chose. */
    record StartedAttempt(long atUs, int router, long node, long fillSource) {}

    /** The final answer to a request: when the request arrived, how long it took, which router, and the outcome. */
    record Answer(long requestedAtUs, long durationUs, int router, String outcome) {}

    final SimulatedNetwork net;
    final Fingerprint actions = new Fingerprint();
    final List<StartedAttempt> attempts = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    final Map<Long, Integer> originFetchesByObject = new HashMap<>();
    final List<Long> originFetchTimesUs = new ArrayList<>();
    long requestCount;
    /** Mean of the exponentially distributed extra response time of the origin. */
    long meanExtraOriginUs;

    private final boolean regionsEnabled;
    private final boolean cachesJoinFills;
    private final int originTransfers;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final Map<Long, SimulatedCache> caches = new HashMap<>();
    private final Map<Long, EndpointInfo> endpoints = new TreeMap<>();
    private long lastRequest;

    /** Starts all routers at once, with regions or without; caches join fills in progress. */
    RegionalFleetWorld(long seed, boolean regionsEnabled, int parents, int originTransfers) {
        this(seed, regionsEnabled, parents, originTransfers, true);
    }

    /**
     * Starts all routers at once. If caches do not join fills, routers first request cached copies only, and a miss
     * reports whether a fill of the object is in progress.
     */
    RegionalFleetWorld(long seed, boolean regionsEnabled, int parents, int originTransfers, boolean cachesJoinFills) {
        this.cachesJoinFills = cachesJoinFills;
        this.net = new SimulatedNetwork(seed, ROUTERS, 0.05, 0);
        this.regionsEnabled = regionsEnabled;
        this.originTransfers = originTransfers;
        for (int zone = 0; zone < ROUTER_ZONES; zone++) {
            for (int i = 1; i <= CACHES_PER_ZONE; i++) {
                addEndpoint(10L * zone + i, 0, zone);
            }
        }
        for (int i = 1; i <= parents; i++) {
            addEndpoint(PARENT_ID_OFFSET + i, 1, HUB_ZONE);
        }
        addEndpoint(ORIGIN, 2, HUB_ZONE);
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new SimulatedRouter(i));
        }
        for (SimulatedRouter simulated : routers) {
            simulated.router.endpointsChanged(clock(), EndpointListMode.CACHED, List.copyOf(endpoints.values()));
            simulated.router.setServing(clock(), true);
        }
    }

    private void addEndpoint(long id, int kind, int zone) {
        caches.put(id, new SimulatedCache(id));
        endpoints.put(id, EndpointInfo.builder(id, kind, zone).build());
    }

    static RoutingSettings settings(int routerId) {
        return settings(routerId, true);
    }

    static RoutingSettings settings(int routerId, boolean cachesJoinFills) {
        int[] hubByZone = {HUB_ZONE, HUB_ZONE, HUB_ZONE, HUB_ZONE, HUB_ZONE};
        return RoutingSettings.builder(
                        RouterTopology.builder(routerId, ROUTERS, routerId / 2)
                                .routersByZone(new int[] {2, 2, 2, 2, 0})
                                .hubByZone(hubByZone)
                                .linkKbPerSByZone(new double[] {100_000, 100_000, 100_000, 100_000, 0})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(10_000)
                                .build(),
                        List.of(RequestClass.builder(500 * MS, 3 * SECOND)
                                .transferTimeFactor(2)
                                .latePriorityWeight(0.2)
                                .idempotencyWindowUs(2 * SECOND)
                                .stalePriorityWeight(0.5)
                                .build()),
                        SimulatedSite.limits(6).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 17 * SECOND, 2, SECOND),
                                new SlowStartProfile(0.1, 20 * SECOND, 2, SECOND)))
                .overQuotaPriorityWeight(0)
                .cachesJoinFills(cachesJoinFills)
                .detailedCacheStatus(true)
                .build();
    }

    private long clock() {
        return START_US + net.now;
    }

    // ---------------------------------------------------------------- events

    /** Schedules requests for a new object each {@code intervalUs}, one in every zone within {@code spreadUs}. */
    void scheduleRequests(long fromUs, long toUs, long intervalUs, long spreadUs) {
        for (long atUs = fromUs; atUs < toUs; atUs += intervalUs) {
            long object = objectRequestedAt(atUs);
            for (int zone = 0; zone < ROUTER_ZONES; zone++) {
                int routerId = 2 * zone + net.random.nextInt(2);
                net.at(atUs + net.random.nextLong(spreadUs), () -> submit(routerId, object));
            }
        }
    }

    static long objectRequestedAt(long atUs) {
        return 1_000_000 + atUs;
    }

    void submit(int routerId, long object) {
        SimulatedRouter simulated = routers.get(routerId);
        long id = ++lastRequest;
        requestCount++;
        simulated.requests.put(id, new long[] {net.now, object});
        simulated.router.requestArrived(
                clock(),
                RoutingRequest.builder(id, 0, object)
                        .group(5)
                        .sizeKb(TRANSFER_US / 100.0)
                        .build());
    }

    /**
     * Changes an endpoint's state; each router learns of it up to 200 ms later.
     *
     * @return the time at which each router learns of it, by router
     */
    long[] changeState(long node, EndpointState state) {
        EndpointInfo previous = endpoints.get(node);
        EndpointInfo changed = EndpointInfo.builder(node, previous.kind(), previous.zone())
                .startedUs(previous.startedUs())
                .state(state)
                .build();
        long[] appliedAtUs = new long[ROUTERS];
        for (SimulatedRouter simulated : routers) {
            appliedAtUs[simulated.routerId] = net.now + 1 + net.random.nextLong(200 * MS);
            net.at(
                    appliedAtUs[simulated.routerId],
                    () -> simulated.router.endpointsChanged(clock(), EndpointListMode.DELTA, List.of(changed)));
        }
        return appliedAtUs;
    }

    void hang(long node) {
        caches.get(node).hung = true;
    }

    /** Removes all copies from the caches of a zone. */
    void emptyCaches(int zone) {
        endpoints.values().stream()
                .filter(m -> m.zone() == zone)
                .forEach(m -> caches.get(m.id()).cachedObjects.clear());
    }

    /** Cuts the network between the first and the second half of the routers, or restores it. */
    void partition(boolean partitioned) {
        for (int sender = 0; sender < ROUTERS; sender++) {
            for (int recipient = 0; recipient < ROUTERS; recipient++) {
                net.setBlocked(sender, recipient, partitioned && sender / 4 != recipient / 4);
            }
        }
    }

    void runTo(long endUs) {
        net.runUntil(endUs, () -> {});
    }

    void runTo(long endUs, Runnable check) {
        net.runUntil(endUs, check);
    }

    // ---------------------------------------------------------------- observations

    long statistic(int routerId, String name) {
        return routers.get(routerId).router.statistics(clock()).getOrDefault(name, -1L);
    }

    /** Returns the leader on which all routers agree; 0 if they differ or none is elected, -1 without regions. */
    long agreedLeader() {
        long first = statistic(0, "region_leader");
        for (int i = 1; i < ROUTERS; i++) {
            if (statistic(i, "region_leader") != first) {
                return 0;
            }
        }
        return first;
    }

    /** Returns the mean number of origin fetches per object of those that {@link #scheduleRequests} requested. */
    double originFetchesPerObject(long fromUs, long toUs, long intervalUs) {
        double sum = 0;
        int objects = 0;
        for (long atUs = fromUs; atUs < toUs; atUs += intervalUs) {
            sum += originFetchesByObject.getOrDefault(objectRequestedAt(atUs), 0);
            objects++;
        }
        return sum / objects;
    }

    long answers(String outcome, long fromUs, long toUs) {
        return answers.stream()
                .filter(a -> a.outcome().equals(outcome) && a.requestedAtUs() >= fromUs && a.requestedAtUs() < toUs)
                .count();
    }
}
