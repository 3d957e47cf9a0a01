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
 * Four branches of two routers with the real module, in virtual time: their datagrams pass between them late, doubled
 * and with losses. Caches, parents and the origin are stand-ins: both kinds of caches join fetches, parents hang, the
 * origin counts fetches of each part. What is judged is what these, and the clients, saw.
 */
final class RegionalFleetWorld {
    static final int FRONTS = 8;
    static final int BRANCHES = 4;
    static final int HUB = BRANCHES;
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    static final long ORIGIN = 201;
    static final long PARENTS = 100;
    /** us; what a request's object takes at a client's pace, and when an answer for it is overdue. */
    static final long OWN_US = 10 * MS;

    static final long OVERDUE_US = 400 * MS + 2 * OWN_US;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final int CACHES = 3;

    /** A stand-in cache, or parent. */
    private final class StandIn {
        final long id;
        final Set<Long> held = new HashSet<>();
        final Map<Long, List<Consumer<CacheStatus>>> fetching = new HashMap<>();
        boolean hangs;

        StandIn(long id) {
            this.id = id;
        }

        /** Says how it came by the object; with no source it says so, and one that hangs never does. */
        void asked(long object, long source, Consumer<CacheStatus> told) {
            if (hangs) {
                return;
            }
            Consumer<CacheStatus> answer = note -> {
                if (!hangs) {
                    told.accept(note);
                }
            };
            if (held.contains(object)) {
                net.at(net.now + 2 * MS + net.random.nextLong(2 * MS), () -> answer.accept(CacheStatus.HIT));
            } else if (source == id) {
                CacheStatus lacks =
                        !joins && fetching.containsKey(object) ? CacheStatus.COALESCED : CacheStatus.SOURCE_MISS;
                net.at(net.now + 2 * MS, () -> answer.accept(lacks));
            } else if (fetching.containsKey(object)) {
                fetching.get(object).add(answer);
            } else {
                fetching.put(object, new ArrayList<>(List.of(answer)));
                Consumer<CacheStatus> came = note -> {
                    held.add(object);
                    fetching.remove(object).forEach(waiting -> waiting.accept(note));
                };
                if (source == ORIGIN) {
                    fetches.merge(object, 1, Integer::sum);
                    fetchedAt.add(net.now);
                    long more = (long) (-unevenUs * Math.log(1 - net.random.nextDouble()));
                    net.at(
                            net.now + 30 * MS + net.random.nextLong(20 * MS) + more,
                            () -> came.accept(CacheStatus.FILLED_BY_ORIGIN));
                } else {
                    nodes.get(source)
                            .asked(
                                    object,
                                    ORIGIN,
                                    note -> came.accept(note == CacheStatus.HIT ? CacheStatus.FILLED : note));
                }
            }
        }
    }

    /** One router. */
    private final class Front extends NoOpActions {
        final int me;
        final RequestRouter rules;
        final Map<Long, List<Boolean>> open = new HashMap<>();
        final Map<Long, long[]> asked = new HashMap<>();

        Front(int me) {
            this.me = me;
            RoutingSettings settings = settings(me, joins);
            this.rules = new RequestRouter(
                    settings,
                    net.random.nextLong(),
                    new FingerprintedActions(this, actions, me, () -> net.now),
                    settings.topology().membershipConfig(0, 50 * MS, clock() / MS, false),
                    led ? settings.regionConfig(clock() / MS, originTransfers) : null,
                    false);
        }

        @Override
        public void startAttempt(long request, long node, AttemptPlan plan) {
            List<Boolean> attempts = open.computeIfAbsent(request, id -> new ArrayList<>());
            int index = attempts.size();
            attempts.add(true);
            long since = net.now;
            sent.add(new Sent(net.now, me, node, plan.fillSource()));
            Consumer<CacheStatus> ended = note -> over(request, index, node, since, AttemptResult.OK, note);
            net.at(
                    plan.deadlineUs() - START_US,
                    () -> over(request, index, node, since, AttemptResult.TIMEOUT, CacheStatus.UNKNOWN));
            long object = asked.get(request)[1];
            StandIn target = nodes.get(node);
            net.at(
                    net.now + MS,
                    () -> target.asked(object, plan.fillSource() == node ? node : plan.fillSource(), note -> {
                        boolean lacks = note == CacheStatus.SOURCE_MISS || note == CacheStatus.COALESCED;
                        over(
                                request,
                                index,
                                node,
                                since,
                                lacks ? AttemptResult.MISS : AttemptResult.OK,
                                note == CacheStatus.SOURCE_MISS ? CacheStatus.UNKNOWN : note);
                    }));
        }

        private void over(long request, int index, long node, long since, AttemptResult result, CacheStatus note) {
            if (open.containsKey(request) && open.get(request).get(index)) {
                open.get(request).set(index, false);
                if (result == AttemptResult.OK) {
                    answered(request, "served");
                }
                rules.attemptEnded(
                        clock(),
                        AttemptOutcome.builder(request, index, node, result)
                                .durationUs(net.now - since)
                                .requestCompleted(result == AttemptResult.OK)
                                .cacheStatus(note)
                                .firstByteUs(net.now - since)
                                .build());
            }
        }

        void answered(long request, String how) {
            long[] from = asked.get(request);
            answers.add(new Answer(from[0], net.now - from[0], me, how));
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            long node = 0;
            net.at(net.now, () -> over(request, attempt, node, net.now, AttemptResult.CANCELLED, CacheStatus.UNKNOWN));
        }

        @Override
        public void reject(long request, long backoffUs) {
            answered(request, backoffUs > 0 ? "refused" : "refused without a pause");
        }

        @Override
        public void fail(long request) {
            answered(request, "failed");
        }

        @Override
        public void setTimer(long at, long handle) {
            net.at(at - START_US, () -> rules.timerExpired(clock(), handle));
        }

        @Override
        public void sendToPeer(int recipient, byte[] message) {
            net.send(
                    me,
                    recipient,
                    message,
                    (to, from, bytes) -> fronts.get(to).rules.peerMessageReceived(clock(), from, bytes));
        }
    }

    /** An attempt, as it went out. */
    record Sent(long at, int front, long node, long source) {}

    /** A final answer: of a request of a time, after so long. */
    record Answer(long askedAt, long tookUs, int front, String how) {}

    final SimulatedNetwork net;
    final Fingerprint actions = new Fingerprint();
    final List<Sent> sent = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    final Map<Long, Integer> fetches = new HashMap<>();
    final List<Long> fetchedAt = new ArrayList<>();
    long asked;
    /** us; the origin takes so much longer in the mean, now little and now much. */
    long unevenUs;

    private final boolean led;
    private final boolean joins;
    private final int originTransfers;
    private final List<Front> fronts = new ArrayList<>();
    private final Map<Long, StandIn> nodes = new HashMap<>();
    private final Map<Long, EndpointInfo> list = new TreeMap<>();
    private long lastRequest;

    /** Routers that start together, with regions or without. */
    RegionalFleetWorld(long seed, boolean led, int parents, int originTransfers) {
        this(seed, led, parents, originTransfers, true);
    }

    /** Likewise; what does not join is asked first for what it holds, and says what is on its way. */
    RegionalFleetWorld(long seed, boolean led, int parents, int originTransfers, boolean joins) {
        this.joins = joins;
        this.net = new SimulatedNetwork(seed, FRONTS, 0.05, 0);
        this.led = led;
        this.originTransfers = originTransfers;
        for (int branch = 0; branch < BRANCHES; branch++) {
            for (int i = 1; i <= CACHES; i++) {
                put(10L * branch + i, 0, branch);
            }
        }
        for (int i = 1; i <= parents; i++) {
            put(PARENTS + i, 1, HUB);
        }
        put(ORIGIN, 2, HUB);
        for (int i = 0; i < FRONTS; i++) {
            fronts.add(new Front(i));
        }
        for (Front front : fronts) {
            front.rules.endpointsChanged(clock(), EndpointListMode.CACHED, List.copyOf(list.values()));
            front.rules.setServing(clock(), true);
        }
    }

    private void put(long id, int kind, int zone) {
        nodes.put(id, new StandIn(id));
        list.put(id, EndpointInfo.builder(id, kind, zone).build());
    }

    static RoutingSettings settings(int me) {
        return settings(me, true);
    }

    static RoutingSettings settings(int me, boolean joins) {
        int[] hubs = {HUB, HUB, HUB, HUB, HUB};
        return RoutingSettings.builder(
                        RouterTopology.builder(me, FRONTS, me / 2)
                                .routersByZone(new int[] {2, 2, 2, 2, 0})
                                .hubByZone(hubs)
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
                .cachesJoinFills(joins)
                .detailedCacheStatus(true)
                .build();
    }

    private long clock() {
        return START_US + net.now;
    }

    // ---------------------------------------------------------------- what happens

    /** One new object after another, each wanted in all branches within some time. */
    void wanted(long from, long to, long every, long within) {
        for (long at = from; at < to; at += every) {
            long object = object(at);
            for (int branch = 0; branch < BRANCHES; branch++) {
                int front = 2 * branch + net.random.nextInt(2);
                net.at(at + net.random.nextLong(within), () -> ask(front, object));
            }
        }
    }

    static long object(long at) {
        return 1_000_000 + at;
    }

    void ask(int number, long object) {
        Front front = fronts.get(number);
        long id = ++lastRequest;
        asked++;
        front.asked.put(id, new long[] {net.now, object});
        front.rules.requestArrived(
                clock(),
                RoutingRequest.builder(id, 0, object)
                        .group(5)
                        .sizeKb(OWN_US / 100.0)
                        .build());
    }

    /** The list changes; each router hears of it some time later, which is returned by router. */
    long[] becomes(long node, EndpointState state) {
        EndpointInfo old = list.get(node);
        EndpointInfo told = EndpointInfo.builder(node, old.kind(), old.zone())
                .startedUs(old.startedUs())
                .state(state)
                .build();
        long[] at = new long[FRONTS];
        for (Front front : fronts) {
            at[front.me] = net.now + 1 + net.random.nextLong(200 * MS);
            net.at(at[front.me], () -> front.rules.endpointsChanged(clock(), EndpointListMode.DELTA, List.of(told)));
        }
        return at;
    }

    void hangs(long node) {
        nodes.get(node).hangs = true;
    }

    /** All caches of a branch lose what they hold. */
    void emptied(int branch) {
        list.values().stream()
                .filter(m -> m.zone() == branch)
                .forEach(m -> nodes.get(m.id()).held.clear());
    }

    /** Cuts the routers into two halves of the same size. */
    void halves(boolean cut) {
        for (int one = 0; one < FRONTS; one++) {
            for (int two = 0; two < FRONTS; two++) {
                net.cut(one, two, cut && one / 4 != two / 4);
            }
        }
    }

    void runTo(long end) {
        net.runUntil(end, () -> {});
    }

    void runTo(long end, Runnable check) {
        net.runUntil(end, check);
    }

    // ---------------------------------------------------------------- what was seen

    long figure(int front, String name) {
        return fronts.get(front).rules.statistics(clock()).getOrDefault(name, -1L);
    }

    /** The parent that all routers hold to lead; 0 if they differ, or none does. */
    long leader() {
        long first = figure(0, "region_leader");
        for (int i = 1; i < FRONTS; i++) {
            if (figure(i, "region_leader") != first) {
                return 0;
            }
        }
        return first;
    }

    /** Origin fetches for each part of those wanted. */
    double fetchesAPart(long from, long to, long every) {
        double sum = 0;
        int parts = 0;
        for (long at = from; at < to; at += every) {
            sum += fetches.getOrDefault(object(at), 0);
            parts++;
        }
        return sum / parts;
    }

    long answers(String how, long from, long to) {
        return answers.stream()
                .filter(a -> a.how().equals(how) && a.askedAt() >= from && a.askedAt() < to)
                .count();
    }
}
