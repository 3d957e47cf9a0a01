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
 * One instance under events drawn at random, in settings drawn at random: every kind of event, outcome and note, with
 * regions and bounded reads on. Nothing is judged; all actions and answers make a fingerprint.
 */
final class RandomEvents extends NoOpActions {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final long ORIGIN = 201;
    private static final int PARENTS = 100;
    private static final int OBJECTS = 40;
    private static final int DIRECTORS = 5;
    private static final int HERE = 4;

    private record OpenAttempt(long request, int number, long node, long sentAt, boolean write) {}

    final Fingerprint fingerprint = new Fingerprint();
    private final SplittableRandom random;
    private final PriorityQueue<long[]> timers = new PriorityQueue<>(
            Comparator.<long[]>comparingLong(timer -> timer[0]).thenComparingLong(timer -> timer[1]));
    private final List<OpenAttempt> open = new ArrayList<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, RoutingRequest> requests = new LinkedHashMap<>();
    private final Map<Long, EndpointInfo> list = new LinkedHashMap<>();
    /** Ends of attempts that were called off during an event. */
    private final List<Runnable> later = new ArrayList<>();

    private final RequestRouter rules;
    private long now = START_US;
    private long lastRequest;

    RandomEvents(long seed) {
        random = new SplittableRandom(seed);
        RoutingSettings settings = settings();
        rules = new RequestRouter(
                settings,
                seed,
                new FingerprintedActions(this, fingerprint, 0, () -> now),
                settings.topology().membershipConfig(7, 100 * MS, START_US / MS, true),
                settings.regionConfig(START_US / MS, 20),
                true);
        for (long cache = 1; cache <= 8; cache++) {
            put(cache, EndpointState.READY);
        }
        for (long parent = PARENTS + 1; parent <= PARENTS + 3; parent++) {
            put(parent, EndpointState.READY);
        }
        if (seed % 4 != 0) {
            put(ORIGIN, EndpointState.READY);
        }
        rules.endpointsChanged(now, EndpointListMode.CACHED, List.copyOf(list.values()));
        rules.setServing(now, true);
    }

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    private RoutingSettings settings() {
        RouterTopology topology = RouterTopology.builder(0, DIRECTORS, 0)
                .routersByZone(new int[] {HERE, DIRECTORS - HERE})
                .hubByZone(new int[] {1, 1})
                .linkKbPerSByZone(new double[] {100_000, 60_000})
                .parentKind(1)
                .originKind(2)
                .transferKbPerS(chance(80) ? 10_000 : 0)
                .build();
        boolean mayCancel = chance(80);
        boolean mayHedge = chance(30);
        boolean maySendRetryAfter = chance(80);
        RequestLimits limits = RequestLimits.builder(2 + random.nextInt(5))
                .mayCancel(mayCancel)
                .mayHedge(mayHedge)
                .mayMessagePeers(true)
                .maySendRetryAfter(maySendRetryAfter)
                .maxRetryAfterUs(SECOND)
                .build();
        long window = chance(80) ? SECOND : 0;
        SafetyLimits safetyLimits = new SafetyLimits(
                500 * MS,
                300 * MS,
                6 * SECOND,
                new SlowStartProfile(0.2, 5 * SECOND, 2, window),
                new SlowStartProfile(0.1, 6 * SECOND, 2, window));
        return RoutingSettings.builder(topology, classes(), limits, safetyLimits)
                .mustSubscribe(chance(50))
                .cachesJoinFills(chance(50))
                .mayBypassCaches(chance(50))
                .detailedCacheStatus(chance(60))
                .weightSource(chance(50) ? WeightSource.OFF : WeightSource.NOMINAL)
                .build();
    }

    private static List<RequestClass> classes() {
        return List.of(
                profile(Idempotency.IDEMPOTENT, IdempotencyKeyScope.ALL, false, 0),
                profile(Idempotency.IDEMPOTENT, IdempotencyKeyScope.ALL, false, 5 * SECOND),
                profile(Idempotency.KEYED, IdempotencyKeyScope.ALL, true, 0),
                profile(Idempotency.KEYED, IdempotencyKeyScope.ZONE, true, 0),
                profile(Idempotency.KEYED, IdempotencyKeyScope.CELL, false, SECOND),
                profile(Idempotency.NOT_IDEMPOTENT, IdempotencyKeyScope.ALL, true, 0));
    }

    private static RequestClass profile(Idempotency effect, IdempotencyKeyScope scope, boolean write, long freshUs) {
        return RequestClass.builder(400 * MS, 3 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .idempotency(effect)
                .keyScope(scope)
                .idempotencyWindowUs(SECOND)
                .write(write)
                .freshUs(freshUs)
                .staleGraceUs(freshUs)
                .stalePriorityWeight(0.5)
                .build();
    }

    private EndpointInfo put(long id, EndpointState state) {
        int kind = id == ORIGIN ? 2 : id > PARENTS ? 1 : 0;
        int zone = kind != 0 || id > 6 ? 1 : 0;
        EndpointInfo old = list.get(id);
        boolean restarts = old == null || chance(40);
        long started = !restarts ? old.startedUs() : chance(50) ? 0 : Math.max(1, now - random.nextLong(6 * SECOND));
        EndpointInfo member = EndpointInfo.builder(id, kind, zone)
                .startedUs(started)
                .weight(1 + random.nextInt(8))
                .state(state)
                .cell((int) (id % 2))
                .build();
        list.put(id, member);
        return member;
    }

    // ---------------------------------------------------------------- actions

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        open.add(new OpenAttempt(
                request, number, node, now, requests.get(request).write()));
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        List<OpenAttempt> called = open.stream()
                .filter(one -> one.request() == request && one.number() == attempt)
                .toList();
        open.removeAll(called);
        called.forEach(one -> later.add(() -> ended(one, AttemptResult.CANCELLED, CacheStatus.UNKNOWN)));
    }

    @Override
    public void serveLocalCopy(long request) {}

    @Override
    public void setTimer(long at, long handle) {
        timers.add(new long[] {at, handle});
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {}

    // ---------------------------------------------------------------- events

    /** Plays so many events; returns what came of them. */
    Fingerprint play(int events) {
        for (int i = 0; i < events; i++) {
            pass(random.nextLong(chance(2) ? 300 * MS : 4 * MS));
            event(random.nextInt(200));
            while (!later.isEmpty()) {
                later.remove(0).run();
            }
        }
        rules.statistics(now).forEach((name, value) -> fingerprint.add(value));
        return fingerprint;
    }

    private void pass(long us) {
        long end = now + us;
        while (!timers.isEmpty() && timers.peek()[0] <= end) {
            long[] due = timers.poll();
            now = Math.max(now, due[0]);
            rules.timerExpired(now, due[1]);
        }
        now = end;
    }

    private void event(int draw) {
        if (draw < 75) {
            request();
        } else if (draw < 160 && !open.isEmpty()) {
            OpenAttempt one = open.remove(random.nextInt(open.size()));
            ended(one, result(), CacheStatus.values()[random.nextInt(CacheStatus.values().length)]);
        } else if (draw < 168) {
            rules.objectsPurged(now, new Purge(random.nextLong(SECOND), chance(20) ? 0 : object(), 5, now / MS));
        } else if (draw < 174) {
            EndpointState state = EndpointState.values()[random.nextInt(EndpointState.values().length)];
            long id = chance(70) ? 1 + random.nextInt(8) : PARENTS + 1 + random.nextInt(3);
            rules.endpointsChanged(now, EndpointListMode.DELTA, List.of(put(id, state)));
        } else if (draw < 176) {
            list.replaceAll((id, member) -> chance(90) ? put(id, EndpointState.READY) : member);
            rules.endpointsChanged(
                    now, chance(50) ? EndpointListMode.FULL : EndpointListMode.FAILED, List.copyOf(list.values()));
        } else if (draw < 188) {
            peer();
        } else if (draw < 192) {
            fingerprint.add(rules.selectCache(now, random.nextInt(2), object())).add((long)
                    rules.avoidedEndpoints(now));
        } else if (draw < 196) {
            rules.boundedReads().discoveryHeard(now);
        } else {
            long id = Math.max(1, lastRequest - random.nextInt(6));
            if (chance(70)) {
                rules.clientDisconnected(now, id);
            } else {
                rules.streamStarted(now, id, 0);
            }
        }
    }

    private long object() {
        return 1 + (long) (OBJECTS * random.nextDouble() * random.nextDouble());
    }

    private void request() {
        int profile = chance(60) ? 0 : random.nextInt(6);
        boolean write = profile == 2 || profile == 3 || profile == 5;
        ReadHint hint = chance(60)
                ? ReadHint.NONE
                : new ReadHint(
                        chance(50) ? random.nextLong(2 * SECOND) : 0,
                        chance(50) ? now / MS - random.nextLong(1_500) : 0,
                        chance(50) ? 1 + random.nextInt(5) : 0,
                        chance(50));
        double sizeKb = chance(70) ? 50 + random.nextInt(2_000) : 0;
        long timeBudgetUs = chance(20) ? random.nextLong(400 * MS) : 0;
        int part = random.nextInt(3);
        RoutingRequest request = RoutingRequest.builder(++lastRequest, profile, object())
                .group(5)
                .sizeKb(sizeKb)
                .timeBudgetUs(timeBudgetUs)
                .part(part)
                .write(write)
                .hint(hint)
                .build();
        requests.put(request.id(), request);
        boolean copy = !write && chance(20);
        rules.requestArrived(
                now,
                request,
                copy ? new LocalCopy(random.nextLong(8 * SECOND), random.nextLong(200 * MS), 20 * MS) : null);
    }

    private AttemptResult result() {
        return chance(70) ? AttemptResult.OK : AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
    }

    private void ended(OpenAttempt one, AttemptResult result, CacheStatus note) {
        long minted = chance(30) ? 0 : chance(10) ? -1 : now / MS - random.nextLong(3_000);
        if (result == AttemptResult.OK) {
            rules.boundedReads().responseReceived(one.request(), one.number(), now, note, minted);
            DeliveryDecision passing = rules.evaluateDelivery(now, one.request(), minted);
            fingerprint.add(passing.deliver()).add(passing.markMs()).add(passing.ageMs());
        }
        fingerprint.add(rules.boundedReads().isUnproven(one.request()));
        long took = now - one.sentAt();
        rules.attemptEnded(
                now,
                AttemptOutcome.builder(one.request(), one.number(), one.node(), result)
                        .durationUs(took)
                        .requestCompleted(result == AttemptResult.OK && !chance(5))
                        .cacheStatus(note)
                        .firstByteUs(took / 2)
                        .originTimeMs(minted)
                        .build());
    }

    private void peer() {
        int sender = 1 + random.nextInt(HERE);
        int zone = sender < HERE ? 0 : 1;
        rules.peerMessageReceived(now, sender, HeartbeatMessages.fromServingMember(sender, DIRECTORS, zone, now));
        long cache = 1 + random.nextInt(8);
        HolderHint holder = new HolderHint(object(), random.nextInt(3), cache, 5, random.nextInt(3_000));
        PeerMessage message = new PeerMessage(
                zone,
                now - random.nextLong(20 * MS),
                random.nextInt(5),
                4 + random.nextInt(30),
                chance(20) ? random.nextDouble() : 0,
                List.of(new EndpointLoad(cache, random.nextInt(6), 4 + random.nextInt(20))),
                chance(40) ? List.of(holder) : List.of(),
                List.of(holder));
        PeerMessageCodec.encode(message).forEach(bytes -> rules.peerMessageReceived(now, sender, bytes));
    }
}
