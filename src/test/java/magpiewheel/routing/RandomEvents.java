package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import magpiewheel.membership.HeartbeatMessages;
import magpiewheel.region.SlowStartProfile;
import magpiewheel.staleness.ReadHint;
import magpiewheel.support.Fingerprint;

/**
 * One router with random settings under random events: every kind of event, attempt result and cache status, with
 * regions and bounded-staleness reads enabled. Checks nothing itself; all actions and results go into a fingerprint.
 */
final class RandomEvents extends NoOpActions {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final long ORIGIN = 201;
    private static final int PARENT_ID_OFFSET = 100;
    private static final int OBJECTS = 40;
    private static final int ROUTERS = 5;
    private static final int LOCAL_ROUTERS = 4;

    private record InFlightAttempt(long request, int number, long node, long sentAtUs, boolean write) {}

    final Fingerprint fingerprint = new Fingerprint();
    private final SplittableRandom random;
    private final PriorityQueue<long[]> timers = new PriorityQueue<>(
            Comparator.<long[]>comparingLong(timer -> timer[0]).thenComparingLong(timer -> timer[1]));
    private final List<InFlightAttempt> inFlight = new ArrayList<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final Map<Long, RoutingRequest> requests = new LinkedHashMap<>();
    private final Map<Long, EndpointInfo> endpoints = new LinkedHashMap<>();
    /** Ends of attempts that the router cancelled during an event; they are delivered after it. */
    private final List<Runnable> pendingCancellations = new ArrayList<>();

    private final RequestRouter router;
    private long nowUs = START_US;
    private long lastRequest;

    RandomEvents(long seed) {
        random = new SplittableRandom(seed);
        RoutingSettings settings = settings();
        router = new RequestRouter(
                settings,
                seed,
                new FingerprintedActions(this, fingerprint, 0, () -> nowUs),
                settings.topology().membershipConfig(7, 100 * MS, START_US / MS, true),
                settings.regionConfig(START_US / MS, 20),
                true);
        for (long cache = 1; cache <= 8; cache++) {
            putEndpoint(cache, EndpointState.READY);
        }
        for (long parent = PARENT_ID_OFFSET + 1; parent <= PARENT_ID_OFFSET + 3; parent++) {
            putEndpoint(parent, EndpointState.READY);
        }
        if (seed % 4 != 0) {
            putEndpoint(ORIGIN, EndpointState.READY);
        }
        router.endpointsChanged(nowUs, EndpointListMode.CACHED, List.copyOf(endpoints.values()));
        router.setServing(nowUs, true);
    }

    private boolean withChance(int percent) {
        return random.nextInt(100) < percent;
    }

    private RoutingSettings settings() {
        RouterTopology topology = RouterTopology.builder(0, ROUTERS, 0)
                .routersByZone(new int[] {LOCAL_ROUTERS, ROUTERS - LOCAL_ROUTERS})
                .hubByZone(new int[] {1, 1})
                .linkKbPerSByZone(new double[] {100_000, 60_000})
                .parentKind(1)
                .originKind(2)
                .transferKbPerS(withChance(80) ? 10_000 : 0)
                .build();
        boolean mayCancel = withChance(80);
        boolean mayHedge = withChance(30);
        boolean maySendRetryAfter = withChance(80);
        RequestLimits limits = RequestLimits.builder(2 + random.nextInt(5))
                .mayCancel(mayCancel)
                .mayHedge(mayHedge)
                .mayMessagePeers(true)
                .maySendRetryAfter(maySendRetryAfter)
                .maxRetryAfterUs(SECOND)
                .build();
        long window = withChance(80) ? SECOND : 0;
        SafetyLimits safetyLimits = new SafetyLimits(
                500 * MS,
                300 * MS,
                6 * SECOND,
                new SlowStartProfile(0.2, 5 * SECOND, 2, window),
                new SlowStartProfile(0.1, 6 * SECOND, 2, window));
        return RoutingSettings.builder(topology, requestClasses(), limits, safetyLimits)
                .mustSubscribe(withChance(50))
                .cachesJoinFills(withChance(50))
                .mayBypassCaches(withChance(50))
                .detailedCacheStatus(withChance(60))
                .weightSource(withChance(50) ? WeightSource.OFF : WeightSource.NOMINAL)
                .build();
    }

    private static List<RequestClass> requestClasses() {
        return List.of(
                requestClass(Idempotency.IDEMPOTENT, IdempotencyKeyScope.ALL, false, 0),
                requestClass(Idempotency.IDEMPOTENT, IdempotencyKeyScope.ALL, false, 5 * SECOND),
                requestClass(Idempotency.KEYED, IdempotencyKeyScope.ALL, true, 0),
                requestClass(Idempotency.KEYED, IdempotencyKeyScope.ZONE, true, 0),
                requestClass(Idempotency.KEYED, IdempotencyKeyScope.CELL, false, SECOND),
                requestClass(Idempotency.NOT_IDEMPOTENT, IdempotencyKeyScope.ALL, true, 0));
    }

    private static RequestClass requestClass(
            Idempotency idempotency, IdempotencyKeyScope scope, boolean write, long freshUs) {
        return RequestClass.builder(400 * MS, 3 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .idempotency(idempotency)
                .keyScope(scope)
                .idempotencyWindowUs(SECOND)
                .write(write)
                .freshUs(freshUs)
                .staleGraceUs(freshUs)
                .stalePriorityWeight(0.5)
                .build();
    }

    private EndpointInfo putEndpoint(long id, EndpointState state) {
        int kind = id == ORIGIN ? 2 : id > PARENT_ID_OFFSET ? 1 : 0;
        int zone = kind != 0 || id > 6 ? 1 : 0;
        EndpointInfo previous = endpoints.get(id);
        boolean restarts = previous == null || withChance(40);
        long startedUs = !restarts
                ? previous.startedUs()
                : withChance(50) ? 0 : Math.max(1, nowUs - random.nextLong(6 * SECOND));
        EndpointInfo endpoint = EndpointInfo.builder(id, kind, zone)
                .startedUs(startedUs)
                .weight(1 + random.nextInt(8))
                .state(state)
                .cell((int) (id % 2))
                .build();
        endpoints.put(id, endpoint);
        return endpoint;
    }

    // ---------------------------------------------------------------- actions

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
        inFlight.add(new InFlightAttempt(
                request, number, node, nowUs, requests.get(request).write()));
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        List<InFlightAttempt> cancelled = inFlight.stream()
                .filter(one -> one.request() == request && one.number() == attempt)
                .toList();
        inFlight.removeAll(cancelled);
        cancelled.forEach(
                one -> pendingCancellations.add(() -> endAttempt(one, AttemptResult.CANCELLED, CacheStatus.UNKNOWN)));
    }

    @Override
    public void serveLocalCopy(long request) {}

    @Override
    public void setTimer(long atUs, long handle) {
        timers.add(new long[] {atUs, handle});
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {}

    // ---------------------------------------------------------------- events

    /** Runs this number of random events and returns the fingerprint of their effects. */
    Fingerprint run(int events) {
        for (int i = 0; i < events; i++) {
            advance(random.nextLong(withChance(2) ? 300 * MS : 4 * MS));
            randomEvent(random.nextInt(200));
            while (!pendingCancellations.isEmpty()) {
                pendingCancellations.remove(0).run();
            }
        }
        router.statistics(nowUs).forEach((name, value) -> fingerprint.add(value));
        return fingerprint;
    }

    private void advance(long durationUs) {
        long endUs = nowUs + durationUs;
        while (!timers.isEmpty() && timers.peek()[0] <= endUs) {
            long[] due = timers.poll();
            nowUs = Math.max(nowUs, due[0]);
            router.timerExpired(nowUs, due[1]);
        }
        nowUs = endUs;
    }

    private void randomEvent(int draw) {
        if (draw < 75) {
            randomRequest();
        } else if (draw < 160 && !inFlight.isEmpty()) {
            InFlightAttempt attempt = inFlight.remove(random.nextInt(inFlight.size()));
            endAttempt(attempt, randomResult(), CacheStatus.values()[random.nextInt(CacheStatus.values().length)]);
        } else if (draw < 168) {
            router.objectsPurged(
                    nowUs, new Purge(random.nextLong(SECOND), withChance(20) ? 0 : randomObject(), 5, nowUs / MS));
        } else if (draw < 174) {
            EndpointState state = EndpointState.values()[random.nextInt(EndpointState.values().length)];
            long id = withChance(70) ? 1 + random.nextInt(8) : PARENT_ID_OFFSET + 1 + random.nextInt(3);
            router.endpointsChanged(nowUs, EndpointListMode.DELTA, List.of(putEndpoint(id, state)));
        } else if (draw < 176) {
            endpoints.replaceAll((id, member) -> withChance(90) ? putEndpoint(id, EndpointState.READY) : member);
            router.endpointsChanged(
                    nowUs,
                    withChance(50) ? EndpointListMode.FULL : EndpointListMode.FAILED,
                    List.copyOf(endpoints.values()));
        } else if (draw < 188) {
            randomPeerMessages();
        } else if (draw < 192) {
            fingerprint
                    .add(router.selectCache(nowUs, random.nextInt(2), randomObject()))
                    .add((long) router.avoidedEndpoints(nowUs));
        } else if (draw < 196) {
            router.boundedReads().discoveryHeard(nowUs);
        } else {
            long id = Math.max(1, lastRequest - random.nextInt(6));
            if (withChance(70)) {
                router.clientDisconnected(nowUs, id);
            } else {
                router.streamStarted(nowUs, id, 0);
            }
        }
    }

    private long randomObject() {
        return 1 + (long) (OBJECTS * random.nextDouble() * random.nextDouble());
    }

    private void randomRequest() {
        int requestClass = withChance(60) ? 0 : random.nextInt(6);
        boolean write = requestClass == 2 || requestClass == 3 || requestClass == 5;
        ReadHint hint = withChance(60)
                ? ReadHint.NONE
                : new ReadHint(
                        withChance(50) ? random.nextLong(2 * SECOND) : 0,
                        withChance(50) ? nowUs / MS - random.nextLong(1_500) : 0,
                        withChance(50) ? 1 + random.nextInt(5) : 0,
                        withChance(50));
        double sizeKb = withChance(70) ? 50 + random.nextInt(2_000) : 0;
        long timeBudgetUs = withChance(20) ? random.nextLong(400 * MS) : 0;
        int part = random.nextInt(3);
        RoutingRequest request = RoutingRequest.builder(++lastRequest, requestClass, randomObject())
                .group(5)
                .sizeKb(sizeKb)
                .timeBudgetUs(timeBudgetUs)
                .part(part)
                .write(write)
                .hint(hint)
                .build();
        requests.put(request.id(), request);
        boolean hasLocalCopy = !write && withChance(20);
        router.requestArrived(
                nowUs,
                request,
                hasLocalCopy ? new LocalCopy(random.nextLong(8 * SECOND), random.nextLong(200 * MS), 20 * MS) : null);
    }

    private AttemptResult randomResult() {
        return withChance(70)
                ? AttemptResult.OK
                : AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
    }

    private void endAttempt(InFlightAttempt attempt, AttemptResult result, CacheStatus cacheStatus) {
        long originTimeMs = withChance(30) ? 0 : withChance(10) ? -1 : nowUs / MS - random.nextLong(3_000);
        if (result == AttemptResult.OK) {
            router.boundedReads()
                    .responseReceived(attempt.request(), attempt.number(), nowUs, cacheStatus, originTimeMs);
            DeliveryDecision delivery = router.evaluateDelivery(nowUs, attempt.request(), originTimeMs);
            fingerprint.add(delivery.deliver()).add(delivery.markMs()).add(delivery.ageMs());
        }
        fingerprint.add(router.boundedReads().isUnproven(attempt.request()));
        long durationUs = nowUs - attempt.sentAtUs();
        router.attemptEnded(
                nowUs,
                AttemptOutcome.builder(attempt.request(), attempt.number(), attempt.node(), result)
                        .durationUs(durationUs)
                        .requestCompleted(result == AttemptResult.OK && !withChance(5))
                        .cacheStatus(cacheStatus)
                        .firstByteUs(durationUs / 2)
                        .originTimeMs(originTimeMs)
                        .build());
    }

    private void randomPeerMessages() {
        int sender = 1 + random.nextInt(LOCAL_ROUTERS);
        int zone = sender < LOCAL_ROUTERS ? 0 : 1;
        router.peerMessageReceived(nowUs, sender, HeartbeatMessages.fromServingMember(sender, ROUTERS, zone, nowUs));
        long cache = 1 + random.nextInt(8);
        HolderHint holder = new HolderHint(randomObject(), random.nextInt(3), cache, 5, random.nextInt(3_000));
        PeerMessage message = new PeerMessage(
                zone,
                nowUs - random.nextLong(20 * MS),
                random.nextInt(5),
                4 + random.nextInt(30),
                withChance(20) ? random.nextDouble() : 0,
                List.of(new EndpointLoad(cache, random.nextInt(6), 4 + random.nextInt(20))),
                withChance(40) ? List.of(holder) : List.of(),
                List.of(holder));
        PeerMessageCodec.encode(message).forEach(bytes -> router.peerMessageReceived(nowUs, sender, bytes));
    }
}
