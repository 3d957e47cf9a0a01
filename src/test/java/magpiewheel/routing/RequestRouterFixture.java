package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;
import magpiewheel.region.SlowStartProfile;

/** One router with a small fleet, whose actions are recorded: the fixture of tests on single decisions. */
abstract class RequestRouterFixture {
    static final int PURE = 0;

    static final int KEYED = 1;

    static final int UNSAFE = 2;

    static final int FRESH = 3;

    static final long ORIGIN = 9;

    static final long PARENT_A = 7;

    static final long PARENT_B = 8;

    static final long SECOND = 1_000_000;

    final RecordingActions router = new RecordingActions();

    final RequestRouter rules = started(settings(false, SiblingFills.OFF), router);

    long now = 100 * SECOND;

    static RoutingSettings settings(boolean duplicate, SiblingFills siblings) {
        return settings(0, 2, duplicate, siblings);
    }

    static RoutingSettings settings(int me, int directors, boolean duplicate, SiblingFills siblings) {
        return RoutingSettings.builder(
                        RouterTopology.builder(me, directors, 0)
                                .routersByZone(new int[] {directors, 0})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {100_000, 0})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(10_000)
                                .build(),
                        List.of(
                                profile(Idempotency.IDEMPOTENT, false, 0), profile(Idempotency.KEYED, true, 0),
                                profile(Idempotency.NOT_IDEMPOTENT, true, 0),
                                        profile(Idempotency.IDEMPOTENT, false, 8 * SECOND)),
                        SimulatedSite.limits(6).mayHedge(duplicate).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 17 * SECOND, 2, 2 * SECOND),
                                new SlowStartProfile(0.1, 20 * SECOND, 2, 2 * SECOND)))
                .overQuotaPriorityWeight(0)
                .siblingFills(siblings)
                .cachesJoinFills(true)
                .detailedCacheStatus(true)
                .build();
    }

    static RequestClass profile(Idempotency effect, boolean write, long freshUs) {
        return RequestClass.builder(500_000, 3 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .idempotency(effect)
                .idempotencyWindowUs(2 * SECOND)
                .write(write)
                .freshUs(freshUs)
                .staleGraceUs(2 * freshUs)
                .stalePriorityWeight(0.5)
                .build();
    }

    /** The same site, where caches join fills or not, or notes tell all or only hits. */
    static RoutingSettings with(RoutingSettings set, boolean joins, boolean allNotes) {
        return RoutingSettings.builder(set.topology(), set.requestClasses(), set.limits(), set.safetyLimits())
                .tenants(set.tenants())
                .overQuotaPriorityWeight(set.overQuotaPriorityWeight())
                .mustSubscribe(set.mustSubscribe())
                .siblingFills(set.siblingFills())
                .cachesJoinFills(joins)
                .mayBypassCaches(set.mayBypassCaches())
                .detailedCacheStatus(allNotes)
                .weightSource(set.weightSource())
                .loadMetrics(set.loadMetrics())
                .build();
    }

    static EndpointInfo member(long node, int kind, int zone, long startedUs, EndpointState state) {
        return EndpointInfo.builder(node, kind, zone)
                .startedUs(startedUs)
                .state(state)
                .build();
    }

    static List<EndpointInfo> fleet() {
        List<EndpointInfo> members = new ArrayList<>();
        for (long node = 1; node <= 4; node++) {
            members.add(member(node, 0, 0, 0, EndpointState.READY));
        }
        members.add(member(PARENT_A, 1, 1, 0, EndpointState.READY));
        members.add(member(PARENT_B, 1, 1, 0, EndpointState.READY));
        members.add(member(ORIGIN, 2, 1, 0, EndpointState.READY));
        return members;
    }

    static RequestRouter started(RoutingSettings settings, RecordingActions router) {
        RequestRouter rules = new RequestRouter(
                settings, 42, router, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        rules.endpointsChanged(100 * SECOND, EndpointListMode.CACHED, fleet());
        return rules;
    }

    static RoutingRequest request(long id, int profile, long object) {
        return RoutingRequest.builder(id, profile, object)
                .group(5)
                .timeBudgetUs(2 * SECOND)
                .build();
    }

    RecordingActions.Sent ask(long id, int profile, long object) {
        rules.requestArrived(now, request(id, profile, object));
        return router.last();
    }

    void answer(long id, int attempt, AttemptResult result, CacheStatus note) {
        RecordingActions.Sent sent = router.sent.stream()
                .filter(s -> s.request() == id)
                .skip(attempt)
                .findFirst()
                .get();
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(id, attempt, sent.node(), result)
                        .durationUs(50_000)
                        .requestCompleted(result == AttemptResult.OK)
                        .cacheStatus(note)
                        .firstByteUs(10_000)
                        .build());
    }

    static byte[] told(int zone, long clock, HolderHint holder) {
        return PeerMessageCodec.encode(new PeerMessage(zone, clock, 0, 16, 0, List.of(), List.of(), List.of(holder)))
                .get(0);
    }

    long attempts(long id) {
        return router.sent.stream().filter(s -> s.request() == id).count();
    }

    static RoutingSettings direct() {
        RoutingSettings s = settings(false, SiblingFills.OFF);
        return RoutingSettings.builder(s.topology(), s.requestClasses(), s.limits(), s.safetyLimits())
                .tenants(s.tenants())
                .overQuotaPriorityWeight(0)
                .siblingFills(s.siblingFills())
                .cachesJoinFills(true)
                .mayBypassCaches(true)
                .detailedCacheStatus(true)
                .weightSource(s.weightSource())
                .loadMetrics(s.loadMetrics())
                .build();
    }

    void ask(long id, int profile, long object, long copyAgeUs) {
        rules.requestArrived(now, request(id, profile, object), new LocalCopy(copyAgeUs, 100_000, 25_000));
    }
}
