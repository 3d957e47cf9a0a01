package magpiewheel.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import magpiewheel.membership.MemberStatus;
import magpiewheel.membership.MembershipView;
import magpiewheel.membership.PartitionVerdict;
import magpiewheel.support.Fingerprint;

/**
 * Simulates four zones of two routers each, parent caches and an origin in virtual time. Parents join requests for an
 * object that they are already fetching, start cold, fail when overloaded and can hang; the origin counts the fetches
 * of each object. Tests judge by what the parents and the origin observed.
 */
final class SimulatedRegions {
    enum SourcePolicy {
        LED,
        PAIR_BY_OBJECT,
        RANDOM_PAIR
    }

    static final int ROUTERS = 8;
    static final int ZONES = 4;
    static final SlowStartProfile SLOW_START = new SlowStartProfile(0.1, 20_000_000, 2, 1_000_000);
    private static final long OVERDUE_US = 300_000;
    private static final long START_MS = 1_800_000_000_000L;

    /** A simulated parent cache. */
    final class SimulatedParent {
        final long id;
        Parent entry;
        final Map<Long, List<Runnable>> pendingFetches = new HashMap<>();
        final Set<Long> cachedObjects = new HashSet<>();
        final List<double[]> recentWork = new ArrayList<>();
        boolean hangs;
        boolean overloaded;
        long extraLatencyUs;
        double maxUtilization;
        /** Load on its link, by second. */
        final Map<Long, Double> linkLoadBySecond = new HashMap<>();

        SimulatedParent(long id, double linkCapacity, double transferCapacity, long startedUs) {
            this.id = id;
            this.entry = new Parent(id, 0, linkCapacity, transferCapacity, startedUs, false);
        }

        void request(long object, double workUnits, java.util.function.Consumer<Boolean> onResponse) {
            recentWork.removeIf(workEntry -> workEntry[0] <= net.now - SLOW_START.overloadWindowUs());
            recentWork.add(new double[] {net.now, workUnits});
            linkLoadBySecond.merge(net.now / 1_000_000, workUnits, Double::sum);
            double warmUpElapsedUs = Math.max(0, net.now - entry.startedUs() - SLOW_START.overloadWindowUs());
            double currentShare = entry.startedUs() == 0
                    ? 1
                    : Math.min(
                            1,
                            SLOW_START.initialShare()
                                    + (1 - SLOW_START.initialShare()) * warmUpElapsedUs / SLOW_START.warmUpUs());
            double toleratedWork = SLOW_START.overloadMultiple() * currentShare * entry.transferCapacity();
            double utilization =
                    recentWork.stream().mapToDouble(workEntry -> workEntry[1]).sum() / toleratedWork;
            if (currentShare < 1) {
                maxUtilization = Math.max(maxUtilization, utilization);
            }
            overloaded |= utilization > 1;
            if (hangs || overloaded) {
                return;
            }
            long firstByteUs = 4_000 + net.random.nextLong(8_000) + extraLatencyUs;
            if (cachedObjects.contains(object)) {
                net.at(net.now + firstByteUs, () -> onResponse.accept(true));
                return;
            }
            List<Runnable> joinedFetch = pendingFetches.get(object);
            Runnable respondWithMiss = () -> onResponse.accept(false);
            if (joinedFetch != null) {
                joinedFetch.add(respondWithMiss);
                return;
            }
            pendingFetches.put(object, new ArrayList<>(List.of(respondWithMiss)));
            originFetches.merge(object, 1, Integer::sum);
            net.at(net.now + firstByteUs + 35_000 + net.random.nextLong(20_000), () -> {
                cachedObjects.add(object);
                List<Runnable> waitingRequests = pendingFetches.remove(object);
                if (!hangs) {
                    waitingRequests.forEach(Runnable::run);
                }
            });
        }
    }

    private final class SimulatedRouter implements MembershipView {
        final int id;
        final RegionCoordinator coordinator;
        final Map<Long, double[]> meanLatencyUs = new HashMap<>();
        long killedAt;

        SimulatedRouter(int id) {
            this.id = id;
            this.coordinator = new RegionCoordinator(
                    localTime(id),
                    new RegionConfig(
                            id, id / 2, new int[] {2, 2, 2, 2}, new int[ZONES], loads, SLOW_START, 1_000, START_MS),
                    this,
                    (to, bytes) -> net.send(
                            id,
                            to,
                            bytes,
                            (receiver, from, message) -> routers.get(receiver).messageReceived(from, message)));
        }

        void messageReceived(int from, byte[] message) {
            if (killedAt == 0) {
                coordinator.messageReceived(localTime(id), from, message);
            }
        }

        @Override
        public MemberStatus status(int router) {
            return runningMembers().contains(router) ? MemberStatus.ALIVE : MemberStatus.DEAD;
        }

        @Override
        public PartitionVerdict verdict() {
            return runningMembers().isEmpty() ? PartitionVerdict.ISOLATED : PartitionVerdict.COMPLETE;
        }

        @Override
        public int zone(int router) {
            return router / 2;
        }

        @Override
        public List<Integer> runningMembers() {
            return IntStream.range(0, ROUTERS)
                    .filter(i -> i != id && net.reaches(i, id) && routers.get(i).killedAt == 0)
                    .boxed()
                    .toList();
        }

        @Override
        public List<Integer> runningMembersIn(int zone) {
            return runningMembers().stream().filter(i -> i / 2 == zone).toList();
        }

        @Override
        public List<Integer> servingAddresses(int zone) {
            return List.of();
        }

        @Override
        public double quotaDivisor(long now) {
            return ROUTERS;
        }

        @Override
        public double quotaDivisorIn(long now, int zone) {
            return 2;
        }

        @Override
        public int digest() {
            return 0;
        }
    }

    final SimulatedNetwork net;
    final SourcePolicy policy;
    private final double[] loads;
    final List<SimulatedRouter> routers = new ArrayList<>();
    final Map<Long, SimulatedParent> parents = new LinkedHashMap<>();
    final Map<Long, Integer> originFetches = new HashMap<>();
    /** Start time and duration of each completed fill. */
    final List<long[]> fillDurations = new ArrayList<>();

    final double[] clockRates = new double[ROUTERS];
    /** Fingerprint of the parents selected for fills. */
    final Fingerprint decisions = new Fingerprint();

    long firstOverdueAt;
    long replacedAt;
    long fillsByLeader;
    long fills;
    long originFills;
    long drainingSelected;

    SimulatedRegions(long seed, SourcePolicy policy, double loss, int parentCount, double transferCapacity) {
        this(seed, policy, loss, parentCount, transferCapacity, 10);
    }

    SimulatedRegions(
            long seed, SourcePolicy policy, double loss, int parentCount, double transferCapacity, double zoneLoad) {
        this.loads = new double[] {zoneLoad, zoneLoad, zoneLoad, zoneLoad};
        this.net = new SimulatedNetwork(seed, ROUTERS, loss, 0);
        this.policy = policy;
        for (int i = 0; i < ROUTERS; i++) {
            clockRates[i] = 1 + (net.random.nextDouble() * 2 - 1) * 0.0001;
        }
        for (int i = 1; i <= parentCount; i++) {
            parents.put((long) i, new SimulatedParent(i, 100, transferCapacity, 0));
        }
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new SimulatedRouter(i));
            int id = i;
            net.every(net.random.nextLong(5_000), 5_000, () -> {
                SimulatedRouter router = routers.get(id);
                if (router.killedAt == 0 && localTime(id) >= router.coordinator.due(localTime(id))) {
                    router.coordinator.tick(localTime(id));
                }
            });
        }
        publishParents();
    }

    long localTime(int router) {
        return (long) (net.now * clockRates[router]);
    }

    /** Publishes the parent list to all routers at once. */
    void publishParents() {
        List<Parent> entries = parents.values().stream().map(p -> p.entry).toList();
        for (SimulatedRouter router : routers) {
            router.coordinator.parentsChanged(localTime(router.id), entries);
        }
    }

    /** Requests a sequence of objects, each in all four zones at about the same time. */
    void requestInAllZones(long from, long to, long intervalUs, long jitterUs, double work) {
        for (long at = from; at < to; at += intervalUs) {
            long object = DeterministicHash.of(at);
            for (int i = 0; i < ZONES; i++) {
                int zone = i;
                net.at(
                        at + net.random.nextLong(jitterUs),
                        () -> fill(2 * zone + net.random.nextInt(2), object, work, 0, net.now));
            }
        }
    }

    /**
     * Requests a sequence of objects in one zone only and reports {@code zoneLoad} as the measured load of that zone.
     */
    void requestInOneZone(int zone, long from, long to, long intervalUs, double zoneLoad) {
        for (long at = from; at < to; at += intervalUs) {
            long object = DeterministicHash.of(at, zone);
            net.at(at, () -> fill(2 * zone + net.random.nextInt(2), object, 1, 0, net.now));
        }
        for (long at = from; at < to; at += 500_000) {
            net.at(at, () -> {
                coordinator(2 * zone).zoneLoadMeasured(localTime(2 * zone), zoneLoad);
                coordinator(2 * zone + 1).zoneLoadMeasured(localTime(2 * zone + 1), zoneLoad);
            });
        }
    }

    /** Starts a fill at a router and retries it at another parent if the response is overdue. */
    private void fill(int routerId, long object, double work, long excludedParent, long startedAt) {
        SimulatedRouter router = routers.get(routerId);
        if (router.killedAt != 0) {
            return;
        }
        long now = localTime(routerId);
        fills++;
        Leader leader = policy == SourcePolicy.LED && excludedParent == 0
                ? router.coordinator.leaderFor(now, routerId / 2, object, work)
                : null;
        SimulatedParent parent = leader != null
                ? parents.get(leader.parent())
                : selectFromPair(router, now, object, work, excludedParent);
        fillsByLeader += leader != null ? 1 : 0;
        decisions.add(net.now).add((long) routerId).add(object);
        decisions.add(leader == null ? -1 : leader.parent()).add(parent == null ? -1 : parent.id);
        drainingSelected += leader != null && (parent == null || parent.entry.draining()) ? 1 : 0;
        if (parent == null) {
            originFills++;
            originFetches.merge(object, 1, Integer::sum);
            net.at(net.now + 50_000, () -> fillDurations.add(new long[] {startedAt, net.now - startedAt}));
            return;
        }
        router.coordinator.fillStarted(now, parent.id, object, work, work);
        long sentAt = net.now;
        boolean[] done = {false};
        parent.request(object, work, hit -> {
            if (!done[0]) {
                done[0] = true;
                router.coordinator.parentResponded(localTime(routerId), parent.id, object, net.now - sentAt, true, hit);
                double[] meanUs =
                        router.meanLatencyUs.computeIfAbsent(parent.id, key -> new double[] {net.now - sentAt});
                meanUs[0] += (net.now - sentAt - meanUs[0]) * 0.2;
                fillDurations.add(new long[] {startedAt, net.now - startedAt});
            }
        });
        net.at(sentAt + OVERDUE_US, () -> {
            if (!done[0]) {
                done[0] = true;
                if (parent.hangs && firstOverdueAt == 0) {
                    firstOverdueAt = net.now;
                }
                router.meanLatencyUs.computeIfAbsent(parent.id, key -> new double[] {OVERDUE_US})[0] = 2 * OVERDUE_US;
                router.coordinator.responseOverdue(localTime(routerId), parent.id, now);
                fill(routerId, object, work, parent.id, startedAt);
            }
        });
    }

    /**
     * Selects a parent without a region: the faster of two parents, drawn at random for each fill or by hashing the
     * object so that all routers consider the same two.
     */
    private SimulatedParent selectFromPair(
            SimulatedRouter router, long now, long object, double work, long excludedParent) {
        List<SimulatedParent> usable = new ArrayList<>(parents.values().stream()
                .filter(p ->
                        p.id != excludedParent && !p.entry.draining() && router.coordinator.hasBudget(now, p.id, work))
                .toList());
        if (policy == SourcePolicy.RANDOM_PAIR) {
            java.util.Collections.shuffle(usable, new java.util.Random(net.random.nextLong()));
        } else {
            usable.sort(java.util.Comparator.comparingLong(p -> DeterministicHash.of(object, p.id)));
        }
        double averageLatencyUs = router.meanLatencyUs.values().stream()
                .mapToDouble(m -> m[0])
                .average()
                .orElse(0);
        return usable.isEmpty()
                ? null
                : usable.subList(0, Math.min(2, usable.size())).stream()
                        .min(java.util.Comparator.comparingDouble(
                                p -> router.meanLatencyUs.getOrDefault(p.id, new double[] {averageLatencyUs})[0]))
                        .get();
    }

    /** Returns the parent that all running routers follow as the leader; 0 if they differ. */
    long leader() {
        long agreedLeader = -1;
        for (SimulatedRouter router : routers) {
            if (router.killedAt == 0) {
                Leader leader = router.coordinator.leader(localTime(router.id));
                long routerLeader = leader == null ? 0 : leader.parent();
                agreedLeader = agreedLeader == -1 || agreedLeader == routerLeader ? routerLeader : 0;
            }
        }
        return Math.max(0, agreedLeader);
    }

    /** Returns the mean number of origin fetches of each object requested in the interval. */
    double originFetchesPerObject(long from, long to, long intervalUs) {
        double sum = 0;
        int objects = 0;
        for (long at = from; at < to; at += intervalUs) {
            sum += originFetches.getOrDefault(DeterministicHash.of(at), 0);
            objects++;
        }
        return sum / objects;
    }

    RegionCoordinator coordinator(int router) {
        return routers.get(router).coordinator;
    }

    /** Stops a router permanently. */
    void kill(int router) {
        routers.get(router).killedAt = net.now + 1;
    }
}
