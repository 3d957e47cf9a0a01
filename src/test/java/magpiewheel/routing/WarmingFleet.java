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
 * Many fronts with the real module, in virtual time, and one node that started a moment ago. Everything that reaches
 * that node is written down, whoever sent it, and is held against what the settings let a cold node bear.
 */
final class WarmingFleet {
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    static final long CACHE = 1;
    static final long PARENT = 101;
    private static final long ORIGIN = 201;
    private static final int CACHES = 4;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final double FLOW_KB_PER_S = 1_000;
    private static final double COLD_FROM = 0.2;
    private static final double PARENT_COLD_FROM = 0.1;
    private static final long WARM_UP_US = 12 * SECOND;
    private static final double MULTIPLE = 3;
    private static final double PARENT_MULTIPLE = 2;
    private static final long TIP_AFTER_US = 3 * SECOND;
    /** us; mean sending times of the two classes, and how often each is asked for. */
    private static final double[] MEAN_US = {300 * MS, 60 * MS};

    /** Spread of sizes within a class, that of a lognormal distribution. */
    private static final double SIGMA = 1.2;

    /** How a run goes. */
    record Plans(
            long seed,
            int fronts,
            long cold,
            double weight,
            boolean sized,
            boolean othersFail,
            boolean restarts,
            boolean listFlaps) {
        static Plans of(long seed, int fronts, long cold) {
            return new Plans(seed, fronts, cold, 4, true, false, false, false);
        }

        Plans weighing(double its) {
            return new Plans(seed, fronts, cold, its, sized, othersFail, restarts, listFlaps);
        }

        Plans withoutSizes() {
            return new Plans(seed, fronts, cold, weight, false, othersFail, restarts, listFlaps);
        }

        Plans whereOthersFail() {
            return new Plans(seed, fronts, cold, weight, sized, true, restarts, listFlaps);
        }

        Plans whereFrontsRestart() {
            return new Plans(seed, fronts, cold, weight, sized, othersFail, true, listFlaps);
        }

        Plans whereTheListFlaps() {
            return new Plans(seed, fronts, cold, weight, sized, othersFail, restarts, true);
        }
    }

    /** Something of a class reaches the cold node. */
    record Arrival(long at, int profile) {}

    private final class Front extends NoOpActions {
        final int me;
        final RequestRouter rules;
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, RoutingRequest> requests = new HashMap<>();
        boolean runs = true;

        Front(int me) {
            this.me = me;
            RoutingSettings settings = settings(me);
            rules = new RequestRouter(
                    settings,
                    net.random.nextLong(),
                    new FingerprintedActions(this, actions, me, () -> net.now),
                    settings.topology().membershipConfig(0, 100 * MS, Math.max(1, clock() / MS), false),
                    null,
                    false);
            rules.endpointsChanged(clock(), EndpointListMode.CACHED, list(true));
            rules.setServing(clock(), true);
        }

        void ask(RoutingRequest request) {
            requests.put(request.id(), request);
            rules.requestArrived(clock(), request);
        }

        @Override
        public void startAttempt(long request, long node, AttemptPlan plan) {
            int index = attempts.merge(request, 1, Integer::sum) - 1;
            RoutingRequest asked = requests.get(request);
            long arrives = net.now + 200 + net.random.nextLong(2 * MS);
            if (node == plans.cold || plan.fillSource() == plans.cold) {
                arrivals.add(new Arrival(arrives, asked.requestClass()));
            }
            boolean fails = plans.othersFail && node != plans.cold && node <= CACHES;
            long tookUs = fails ? MS : transferUs(asked) + 5 * MS;
            CacheStatus note = fails || plan.fillSource() == node ? CacheStatus.UNKNOWN : CacheStatus.HIT;
            AttemptResult result = fails ? AttemptResult.UNREACHABLE : AttemptResult.OK;
            net.at(arrives + tookUs, () -> {
                if (runs) {
                    rules.attemptEnded(
                            clock(),
                            AttemptOutcome.builder(request, index, node, result)
                                    .durationUs(tookUs)
                                    .requestCompleted(!fails)
                                    .cacheStatus(note)
                                    .firstByteUs(5 * MS)
                                    .build());
                }
            });
        }

        @Override
        public void sendToPeer(int recipient, byte[] message) {
            net.send(
                    me,
                    recipient,
                    message,
                    (to, from, bytes) -> fronts.get(to).rules.peerMessageReceived(clock(), from, bytes));
        }

        @Override
        public void setTimer(long at, long handle) {
            net.at(at - START_US, () -> {
                if (runs) {
                    rules.timerExpired(clock(), handle);
                }
            });
        }
    }

    final Fingerprint actions = new Fingerprint();
    final List<Arrival> arrivals = new ArrayList<>();
    private final Plans plans;
    private final SimulatedNetwork net;
    private final List<Front> fronts = new ArrayList<>();
    private final Map<Long, Double> sizes = new HashMap<>();
    private final Map<Long, Long> transfers = new HashMap<>();
    private long lastRequest;

    /** A fleet whose cold node started as the run begins; one in ten of its datagrams is lost. */
    WarmingFleet(Plans plans) {
        this.plans = plans;
        net = new SimulatedNetwork(plans.seed(), plans.fronts(), 0.1, 0.02);
        for (int me = 0; me < plans.fronts(); me++) {
            fronts.add(new Front(me));
        }
    }

    private long clock() {
        return START_US + net.now;
    }

    private List<EndpointInfo> list(boolean withCold) {
        List<EndpointInfo> all = new ArrayList<>();
        for (long id = CACHE; id <= CACHES; id++) {
            all.add(member(id, 0));
        }
        all.add(member(PARENT, 1));
        all.add(member(PARENT + 1, 1));
        all.add(member(ORIGIN, 2));
        all.removeIf(member -> !withCold && member.id() == plans.cold);
        return all;
    }

    private EndpointInfo member(long id, int kind) {
        long started = id == plans.cold ? START_US : 0;
        return EndpointInfo.builder(id, kind, 0)
                .startedUs(started)
                .weight(plans.weight)
                .build();
    }

    /** Asks at every front so many times a second until then; the objects are few, and are everybody's. */
    WarmingFleet run(long end, int perSecond) {
        long step = SECOND / perSecond;
        for (int me = 0; me < plans.fronts(); me++) {
            int number = me;
            net.every(net.random.nextLong(step), step, () -> ask(number));
        }
        for (int me = 0; plans.restarts && me < plans.fronts(); me++) {
            int number = me;
            net.at(SECOND + number % 10 * 250 * MS, () -> restart(number));
        }
        if (plans.listFlaps) {
            net.every(SECOND, SECOND / 5, () -> {
                fronts.forEach(front -> front.rules.endpointsChanged(clock(), EndpointListMode.FULL, list(false)));
                fronts.forEach(front -> front.rules.endpointsChanged(clock(), EndpointListMode.FULL, list(true)));
            });
        }
        net.runUntil(end, () -> {});
        return this;
    }

    private void restart(int number) {
        fronts.get(number).runs = false;
        fronts.set(number, new Front(number));
    }

    private void ask(int number) {
        int profile = net.random.nextInt(2);
        long object = 1 + net.random.nextInt(2_000);
        double us = sizes.computeIfAbsent(
                2 * object + profile, key -> ObjectSizes.lognormal(net.random, MEAN_US[profile], SIGMA));
        double kbytes = us / SECOND * FLOW_KB_PER_S;
        RoutingRequest request = RoutingRequest.builder(++lastRequest, profile, 2 * object + profile)
                .group(5)
                .sizeKb(plans.sized ? kbytes : 0)
                .build();
        transfers.put(request.id(), (long) us);
        fronts.get(number).ask(request);
    }

    private long transferUs(RoutingRequest request) {
        return transfers.get(request.id());
    }

    /** The window that holds most beyond what the node bears then, N + 2 x root of N + 2: by how many requests. */
    double worst() {
        double meanUs = (MEAN_US[0] + MEAN_US[1]) / 2;
        double worst = Double.NEGATIVE_INFINITY;
        List<Arrival> inOrder = new ArrayList<>(arrivals);
        inOrder.sort(Comparator.comparingLong(Arrival::at));
        double requests = 0;
        int first = 0;
        for (Arrival last : inOrder) {
            requests += MEAN_US[last.profile()] / meanUs;
            while (inOrder.get(first).at() <= last.at() - TIP_AFTER_US) {
                requests -= MEAN_US[inOrder.get(first++).profile()] / meanUs;
            }
            double bears = bears(last.at()) / meanUs;
            worst = Math.max(worst, last.at() < WARM_UP_US ? requests - (bears + 2 * Math.sqrt(bears) + 2) : worst);
        }
        return worst;
    }

    /** Work that the node bears in a window that ends then: it is as it was at the window's start. */
    private double bears(long end) {
        boolean parent = plans.cold == PARENT;
        double from = parent ? PARENT_COLD_FROM : COLD_FROM;
        double present = from + (1 - from) * Math.max(0, end - TIP_AFTER_US) / WARM_UP_US;
        return (parent ? PARENT_MULTIPLE : MULTIPLE) * present * plans.weight * TIP_AFTER_US;
    }

    private RoutingSettings settings(int me) {
        return RoutingSettings.builder(
                        RouterTopology.builder(me, plans.fronts, 0)
                                .routersByZone(new int[] {plans.fronts})
                                .hubByZone(new int[] {0})
                                .linkKbPerSByZone(new double[] {50 * FLOW_KB_PER_S})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(FLOW_KB_PER_S)
                                .build(),
                        List.of(profile(600 * MS), profile(400 * MS)),
                        SimulatedSite.limits(8).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(COLD_FROM, WARM_UP_US, MULTIPLE, TIP_AFTER_US),
                                new SlowStartProfile(PARENT_COLD_FROM, WARM_UP_US, PARENT_MULTIPLE, TIP_AFTER_US)))
                .overQuotaPriorityWeight(0)
                .cachesJoinFills(true)
                .mayBypassCaches(true)
                .detailedCacheStatus(true)
                .weightSource(WeightSource.NOMINAL)
                .build();
    }

    private static RequestClass profile(long aimUs) {
        return RequestClass.builder(aimUs, 6 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .stalePriorityWeight(0.5)
                .build();
    }
}
