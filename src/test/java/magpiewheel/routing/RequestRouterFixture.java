package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;
import magpiewheel.region.SlowStartProfile;

/**
 * Fixture for tests of single decisions: one router with four caches in its zone and two parents and the origin in
 * another zone. The router's actions are recorded.
 */
abstract class RequestRouterFixture {
    /** Indexes of the request classes in {@link #settings}. */
    static final int READ = 0;

    static final int KEYED_WRITE = 1;

    static final int UNSAFE_WRITE = 2;

    static final int READ_WITH_FRESHNESS = 3;

    static final long ORIGIN = 9;

    static final long PARENT_A = 7;

    static final long PARENT_B = 8;

    static final long SECOND = 1_000_000;

    final RecordingActions actions = new RecordingActions();

    final RequestRouter router = startRouter(settings(false, SiblingFills.OFF), actions);

    long now = 100 * SECOND;

    static RoutingSettings settings(boolean mayHedge, SiblingFills siblingFills) {
        return settings(0, 2, mayHedge, siblingFills);
    }

    static RoutingSettings settings(int routerId, int routers, boolean mayHedge, SiblingFills siblingFills) {
        return RoutingSettings.builder(
                        RouterTopology.builder(routerId, routers, 0)
                                .routersByZone(new int[] {routers, 0})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {100_000, 0})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(10_000)
                                .build(),
                        List.of(
                                requestClass(Idempotency.IDEMPOTENT, false, 0),
                                        requestClass(Idempotency.KEYED, true, 0),
                                requestClass(Idempotency.NOT_IDEMPOTENT, true, 0),
                                        requestClass(Idempotency.IDEMPOTENT, false, 8 * SECOND)),
                        SimulatedSite.limits(6).mayHedge(mayHedge).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 17 * SECOND, 2, 2 * SECOND),
                                new SlowStartProfile(0.1, 20 * SECOND, 2, 2 * SECOND)))
                .overQuotaPriorityWeight(0)
                .siblingFills(siblingFills)
                .cachesJoinFills(true)
                .detailedCacheStatus(true)
                .build();
    }

    static RequestClass requestClass(Idempotency idempotency, boolean write, long freshUs) {
        return RequestClass.builder(500_000, 3 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .idempotency(idempotency)
                .idempotencyWindowUs(2 * SECOND)
                .write(write)
                .freshUs(freshUs)
                .staleGraceUs(2 * freshUs)
                .stalePriorityWeight(0.5)
                .build();
    }

    /** Returns the same settings with these values for joined fills and detailed cache status. */
    static RoutingSettings withFeatures(
            RoutingSettings settings, boolean cachesJoinFills, boolean detailedCacheStatus) {
        return RoutingSettings.builder(
                        settings.topology(), settings.requestClasses(), settings.limits(), settings.safetyLimits())
                .tenants(settings.tenants())
                .overQuotaPriorityWeight(settings.overQuotaPriorityWeight())
                .mustSubscribe(settings.mustSubscribe())
                .siblingFills(settings.siblingFills())
                .cachesJoinFills(cachesJoinFills)
                .mayBypassCaches(settings.mayBypassCaches())
                .detailedCacheStatus(detailedCacheStatus)
                .weightSource(settings.weightSource())
                .loadMetrics(settings.loadMetrics())
                .build();
    }

    static EndpointInfo endpoint(long node, int kind, int zone, long startedUs, EndpointState state) {
        return EndpointInfo.builder(node, kind, zone)
                .startedUs(startedUs)
                .state(state)
                .build();
    }

    static List<EndpointInfo> endpoints() {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (long node = 1; node <= 4; node++) {
            endpoints.add(endpoint(node, 0, 0, 0, EndpointState.READY));
        }
        endpoints.add(endpoint(PARENT_A, 1, 1, 0, EndpointState.READY));
        endpoints.add(endpoint(PARENT_B, 1, 1, 0, EndpointState.READY));
        endpoints.add(endpoint(ORIGIN, 2, 1, 0, EndpointState.READY));
        return endpoints;
    }

    static RequestRouter startRouter(RoutingSettings settings, RecordingActions actions) {
        RequestRouter router = new RequestRouter(
                settings, 42, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        router.endpointsChanged(100 * SECOND, EndpointListMode.CACHED, endpoints());
        return router;
    }

    static RoutingRequest request(long id, int requestClass, long object) {
        return RoutingRequest.builder(id, requestClass, object)
                .group(5)
                .timeBudgetUs(2 * SECOND)
                .build();
    }

    /** Submits a request, and returns the last attempt that the router has started so far. */
    RecordingActions.StartedAttempt submit(long id, int requestClass, long object) {
        router.requestArrived(now, request(id, requestClass, object));
        return actions.lastAttempt();
    }

    /** Ends the attempt with this index of a request after 50 ms, with its first byte after 10 ms. */
    void endAttempt(long id, int attempt, AttemptResult result, CacheStatus cacheStatus) {
        RecordingActions.StartedAttempt started = actions.attempts.stream()
                .filter(s -> s.request() == id)
                .skip(attempt)
                .findFirst()
                .get();
        router.attemptEnded(
                now,
                AttemptOutcome.builder(id, attempt, started.node(), result)
                        .durationUs(50_000)
                        .requestCompleted(result == AttemptResult.OK)
                        .cacheStatus(cacheStatus)
                        .firstByteUs(10_000)
                        .build());
    }

    /** Returns an encoded peer message of a router in this zone that carries only the holder hint. */
    static byte[] encodeHolderHint(int zone, long sentAtUs, HolderHint holder) {
        return PeerMessageCodec.encode(new PeerMessage(zone, sentAtUs, 0, 16, 0, List.of(), List.of(), List.of(holder)))
                .get(0);
    }

    long attemptCount(long id) {
        return actions.attempts.stream().filter(s -> s.request() == id).count();
    }

    /** Returns settings under which routers may bypass caches. */
    static RoutingSettings bypassSettings() {
        RoutingSettings settings = settings(false, SiblingFills.OFF);
        return RoutingSettings.builder(
                        settings.topology(), settings.requestClasses(), settings.limits(), settings.safetyLimits())
                .tenants(settings.tenants())
                .overQuotaPriorityWeight(0)
                .siblingFills(settings.siblingFills())
                .cachesJoinFills(true)
                .mayBypassCaches(true)
                .detailedCacheStatus(true)
                .weightSource(settings.weightSource())
                .loadMetrics(settings.loadMetrics())
                .build();
    }

    /** Submits a request of which the router has a local copy of this age. */
    void submit(long id, int requestClass, long object, long copyAgeUs) {
        router.requestArrived(now, request(id, requestClass, object), new LocalCopy(copyAgeUs, 100_000, 25_000));
    }
}
