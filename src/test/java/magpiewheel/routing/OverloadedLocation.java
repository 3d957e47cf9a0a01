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
 * One location's fronts with the real module, in virtual time, whose caches and link carry only so many transfers at
 * once: beyond that each takes longer. What becomes of every request is written down with its size.
 */
final class OverloadedLocation {
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    private static final int FRONTS = 3;
    private static final int CACHES = 4;
    private static final long PARENT = 101;
    private static final long ORIGIN = 201;
    private static final long START_US = 1_800_000_000_000_000L;
    private static final double FLOW_KB_PER_S = 1_000;
    /** Transfers at a client's pace that one cache carries, and those that the location's link does. */
    private static final double CACHE_FLOWS = 8;

    private static final double LINK_FLOWS = 20;
    private static final int OBJECTS = 3_000;
    /** Objects of low numbers are asked for more often, by a power of a number that is drawn evenly. */
    private static final double SKEW = 3;
    /** Share of the objects that a cache holds at the start. */
    private static final double HELD = 0.7;

    private static final double SIGMA = 1;

    /** A class of requests: share of the requests, mean sending time, aim, deadline, worth. */
    record Kind(double share, long meanUs, long aimUs, long deadlineUs, double worth) {}

    /** What became of a request. */
    private record End(int kind, double us, boolean answered) {}

    private final class Front extends NoOpActions {
        final RequestRouter rules;
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, RoutingRequest> open = new HashMap<>();
        final int me;

        Front(int me) {
            this.me = me;
            RoutingSettings settings = settings(me);
            RouterTopology place = settings.topology();
            rules = new RequestRouter(
                    settings, net.random.nextLong(), this, place.membershipConfig(0, 100 * MS, 0, false), null, false);
            rules.endpointsChanged(clock(), EndpointListMode.CACHED, list());
            rules.setServing(clock(), true);
        }

        void ask(RoutingRequest request) {
            open.put(request.id(), request);
            rules.requestArrived(clock(), request);
        }

        @Override
        public void startAttempt(long id, long node, AttemptPlan plan) {
            int index = attempts.merge(id, 1, Integer::sum) - 1;
            RoutingRequest request = open.get(id);
            boolean cache = node <= CACHES;
            boolean hit = cache && holds(node, request.objectId());
            if (cache && !hit && plan.fillSource() == node) {
                net.at(
                        net.now + 2 * MS,
                        () -> endAttempt(request, index, node, AttemptResult.MISS, CacheStatus.UNKNOWN, 2 * MS));
                return;
            }
            CacheStatus note = hit ? CacheStatus.HIT : CacheStatus.FILLED;
            double slower = cache ? inHand.merge(node, 1, Integer::sum) / CACHE_FLOWS : 1;
            slower = hit ? slower : Math.max(slower, inHand.merge(0L, 1, Integer::sum) / LINK_FLOWS);
            long took = (long) (sendingUs(request) * Math.max(1, slower)) + 5 * MS;
            long left = plan.deadlineUs() - clock();
            AttemptResult result = took < left ? AttemptResult.OK : AttemptResult.TIMEOUT;
            net.at(net.now + Math.min(took, left), () -> {
                inHand.merge(node, cache ? -1 : 0, Integer::sum);
                inHand.merge(0L, hit ? 0 : -1, Integer::sum);
                if (result == AttemptResult.OK && cache) {
                    held.add(spot(node, request.objectId()));
                }
                endAttempt(
                        request,
                        index,
                        node,
                        result,
                        result == AttemptResult.OK ? note : CacheStatus.UNKNOWN,
                        Math.min(took, left));
            });
        }

        private void endAttempt(
                RoutingRequest request, int index, long node, AttemptResult result, CacheStatus note, long took) {
            boolean served = result == AttemptResult.OK;
            if (served) {
                end(request.id(), true);
            }
            rules.attemptEnded(
                    clock(),
                    AttemptOutcome.builder(request.id(), index, node, result)
                            .durationUs(took)
                            .requestCompleted(served)
                            .cacheStatus(note)
                            .firstByteUs(5 * MS)
                            .build());
        }

        private void end(long id, boolean answered) {
            RoutingRequest request = open.get(id);
            if (request != null && attempts.put(-id, 1) == null) {
                ends.add(new End(request.requestClass(), sendingUs(request), answered));
            }
        }

        @Override
        public void reject(long request, long backoffUs) {
            end(request, false);
        }

        @Override
        public void fail(long request) {
            end(request, false);
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
            net.at(at - START_US, () -> rules.timerExpired(clock(), handle));
        }
    }

    private final List<Kind> kinds;
    private final SimulatedNetwork net;
    private final List<Front> fronts = new ArrayList<>();
    private final Map<Long, Double> sizes = new HashMap<>();
    private final Map<Long, Integer> inHand = new HashMap<>();
    private final Set<Long> held = new HashSet<>();
    private final List<End> ends = new ArrayList<>();
    private long lastRequest;

    OverloadedLocation(long seed, List<Kind> kinds) {
        this.kinds = kinds;
        net = new SimulatedNetwork(seed, FRONTS, 0.05, 0.01);
        for (long object = 0; object < OBJECTS * kinds.size(); object++) {
            if (net.random.nextDouble() < HELD) {
                held.add(spot(1 + net.random.nextInt(CACHES), object + 1));
            }
        }
        for (int me = 0; me < FRONTS; me++) {
            fronts.add(new Front(me));
        }
    }

    /** Asks for so many times what the caches carry, until then. */
    OverloadedLocation run(long end, double load) {
        double meanUs =
                kinds.stream().mapToDouble(kind -> kind.share() * kind.meanUs()).sum();
        long step = (long) (meanUs / (load * CACHES * CACHE_FLOWS));
        net.every(0, step, this::ask);
        net.runUntil(end, () -> {});
        return this;
    }

    private void ask() {
        int kind = 0;
        for (double draw = net.random.nextDouble(); draw >= kinds.get(kind).share() && kind + 1 < kinds.size(); ) {
            draw -= kinds.get(kind++).share();
        }
        long rank = (long) (OBJECTS * Math.pow(net.random.nextDouble(), SKEW));
        long object = 1 + rank * kinds.size() + kind;
        double mean = kinds.get(kind).meanUs();
        double us = sizes.computeIfAbsent(object, key -> ObjectSizes.lognormal(net.random, mean, SIGMA));
        RoutingRequest request = RoutingRequest.builder(++lastRequest, kind, object)
                .group(5)
                .sizeKb(us / SECOND * FLOW_KB_PER_S)
                .build();
        fronts.get(net.random.nextInt(FRONTS)).ask(request);
    }

    private boolean holds(long cache, long object) {
        return held.contains(spot(cache, object));
    }

    private static long spot(long cache, long object) {
        return object * (CACHES + 1) + cache;
    }

    private static double sendingUs(RoutingRequest request) {
        return request.sizeKb() / FLOW_KB_PER_S * SECOND;
    }

    /** Share of a class's requests that were answered, of the part between two ranks by size, 0 the smallest. */
    double answered(int kind, double from, double to) {
        List<End> bySize = ends.stream()
                .filter(end -> end.kind() == kind)
                .sorted(Comparator.comparingDouble(End::us))
                .toList();
        List<End> part = bySize.subList((int) (from * bySize.size()), (int) (to * bySize.size()));
        return part.stream().filter(End::answered).count() / (double) part.size();
    }

    private long clock() {
        return START_US + net.now;
    }

    private static List<EndpointInfo> list() {
        List<EndpointInfo> all = new ArrayList<>();
        for (long id = 1; id <= CACHES; id++) {
            all.add(EndpointInfo.builder(id, 0, 0).weight(CACHE_FLOWS).build());
        }
        all.add(EndpointInfo.builder(PARENT, 1, 1).weight(4 * CACHE_FLOWS).build());
        all.add(EndpointInfo.builder(ORIGIN, 2, 1).weight(0).build());
        return all;
    }

    private RoutingSettings settings(int me) {
        List<RequestClass> profiles = kinds.stream()
                .map(kind -> RequestClass.builder(kind.aimUs(), kind.deadlineUs())
                        .transferTimeFactor(2)
                        .priorityWeight(kind.worth())
                        .latePriorityWeight(0.2)
                        .stalePriorityWeight(0.5)
                        .build())
                .toList();
        double link = LINK_FLOWS * FLOW_KB_PER_S;
        return RoutingSettings.builder(
                        RouterTopology.builder(me, FRONTS, 0)
                                .routersByZone(new int[] {FRONTS, 0})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {link, 0})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(FLOW_KB_PER_S)
                                .build(),
                        profiles,
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
