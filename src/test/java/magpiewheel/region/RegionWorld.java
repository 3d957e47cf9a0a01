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
 * Four branches of two fronts, stand-in parents and an origin, in virtual time. Parents join fetches, start cold, fall
 * over at their multiple and hang; the origin counts fetches of each part. What is judged is what these saw.
 */
final class RegionWorld {
    enum Way {
        LED,
        PAIR_BY_OBJECT,
        RANDOM_PAIR
    }

    static final int FRONTS = 8;
    static final int BRANCHES = 4;
    static final SlowStartProfile COLD = new SlowStartProfile(0.1, 20_000_000, 2, 1_000_000);
    private static final long OVERDUE_US = 300_000;
    private static final long START_MS = 1_800_000_000_000L;

    /** A stand-in parent. */
    final class StandIn {
        final long id;
        Parent listed;
        final Map<Long, List<Runnable>> fetching = new HashMap<>();
        final Set<Long> held = new HashSet<>();
        final List<double[]> work = new ArrayList<>();
        boolean hangs;
        boolean fallen;
        long slowUs;
        double most;
        /** What its link carried, by second. */
        final Map<Long, Double> carried = new HashMap<>();

        StandIn(long id, double carries, double capacity, long startedUs) {
            this.id = id;
            this.listed = new Parent(id, 0, carries, capacity, startedUs, false);
        }

        void asked(long object, double weight, java.util.function.Consumer<Boolean> answer) {
            work.removeIf(w -> w[0] <= net.now - COLD.overloadWindowUs());
            work.add(new double[] {net.now, weight});
            carried.merge(net.now / 1_000_000, weight, Double::sum);
            double age = Math.max(0, net.now - listed.startedUs() - COLD.overloadWindowUs());
            double present = listed.startedUs() == 0
                    ? 1
                    : Math.min(1, COLD.initialShare() + (1 - COLD.initialShare()) * age / COLD.warmUpUs());
            double bears = COLD.overloadMultiple() * present * listed.transferCapacity();
            double use = work.stream().mapToDouble(w -> w[1]).sum() / bears;
            if (present < 1) {
                most = Math.max(most, use);
            }
            fallen |= use > 1;
            if (hangs || fallen) {
                return;
            }
            long first = 4_000 + net.random.nextLong(8_000) + slowUs;
            if (held.contains(object)) {
                net.at(net.now + first, () -> answer.accept(true));
                return;
            }
            List<Runnable> waiting = fetching.get(object);
            Runnable told = () -> answer.accept(false);
            if (waiting != null) {
                waiting.add(told);
                return;
            }
            fetching.put(object, new ArrayList<>(List.of(told)));
            fetches.merge(object, 1, Integer::sum);
            net.at(net.now + first + 35_000 + net.random.nextLong(20_000), () -> {
                held.add(object);
                List<Runnable> all = fetching.remove(object);
                if (!hangs) {
                    all.forEach(Runnable::run);
                }
            });
        }
    }

    private final class Front implements MembershipView {
        final int me;
        final RegionCoordinator region;
        final Map<Long, double[]> latency = new HashMap<>();
        long dead;

        Front(int me) {
            this.me = me;
            this.region = new RegionCoordinator(
                    local(me),
                    new RegionConfig(
                            me, me / 2, new int[] {2, 2, 2, 2}, new int[BRANCHES], loads, COLD, 1_000, START_MS),
                    this,
                    (to, bytes) -> net.send(
                            me, to, bytes, (at, from, message) -> fronts.get(at).messageReceived(from, message)));
        }

        void messageReceived(int from, byte[] message) {
            if (dead == 0) {
                region.messageReceived(local(me), from, message);
            }
        }

        @Override
        public MemberStatus status(int front) {
            return runningMembers().contains(front) ? MemberStatus.ALIVE : MemberStatus.DEAD;
        }

        @Override
        public PartitionVerdict verdict() {
            return runningMembers().isEmpty() ? PartitionVerdict.ISOLATED : PartitionVerdict.COMPLETE;
        }

        @Override
        public int zone(int front) {
            return front / 2;
        }

        @Override
        public List<Integer> runningMembers() {
            return IntStream.range(0, FRONTS)
                    .filter(i -> i != me && net.reaches(i, me) && fronts.get(i).dead == 0)
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
            return FRONTS;
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
    final Way way;
    private final double[] loads;
    final List<Front> fronts = new ArrayList<>();
    final Map<Long, StandIn> parents = new LinkedHashMap<>();
    final Map<Long, Integer> fetches = new HashMap<>();
    /** When each fill began, and what it took. */
    final List<long[]> took = new ArrayList<>();

    final double[] rate = new double[FRONTS];
    /** Of the parents that fills went to. */
    final Fingerprint decisions = new Fingerprint();

    long firstOverdueAt;
    long replacedAt;
    long byLeader;
    long fills;
    long direct;
    long namedGone;

    RegionWorld(long seed, Way way, double loss, int parentCount, double capacity) {
        this(seed, way, loss, parentCount, capacity, 10);
    }

    RegionWorld(long seed, Way way, double loss, int parentCount, double capacity, double load) {
        this.loads = new double[] {load, load, load, load};
        this.net = new SimulatedNetwork(seed, FRONTS, loss, 0);
        this.way = way;
        for (int i = 0; i < FRONTS; i++) {
            rate[i] = 1 + (net.random.nextDouble() * 2 - 1) * 0.0001;
        }
        for (int i = 1; i <= parentCount; i++) {
            parents.put((long) i, new StandIn(i, 100, capacity, 0));
        }
        for (int i = 0; i < FRONTS; i++) {
            fronts.add(new Front(i));
            int me = i;
            net.every(net.random.nextLong(5_000), 5_000, () -> {
                Front front = fronts.get(me);
                if (front.dead == 0 && local(me) >= front.region.due(local(me))) {
                    front.region.tick(local(me));
                }
            });
        }
        list();
    }

    long local(int front) {
        return (long) (net.now * rate[front]);
    }

    /** Every front is told the list, at once. */
    void list() {
        List<Parent> all = parents.values().stream().map(p -> p.listed).toList();
        for (Front front : fronts) {
            front.region.parentsChanged(local(front.me), all);
        }
    }

    /** Objects wanted in all four branches at once, one after another. */
    void wanted(long from, long to, long every, long jitter, double work) {
        for (long at = from; at < to; at += every) {
            long object = DeterministicHash.of(at);
            for (int branch = 0; branch < BRANCHES; branch++) {
                int zone = branch;
                net.at(
                        at + net.random.nextLong(jitter),
                        () -> fill(2 * zone + net.random.nextInt(2), object, work, 0, net.now));
            }
        }
    }

    /** Objects wanted in one branch only, of which the measured load is told. */
    void grows(int branch, long from, long to, long every, double load) {
        for (long at = from; at < to; at += every) {
            long object = DeterministicHash.of(at, branch);
            net.at(at, () -> fill(2 * branch + net.random.nextInt(2), object, 1, 0, net.now));
        }
        for (long at = from; at < to; at += 500_000) {
            net.at(at, () -> {
                view(2 * branch).zoneLoadMeasured(local(2 * branch), load);
                view(2 * branch + 1).zoneLoadMeasured(local(2 * branch + 1), load);
            });
        }
    }

    /** One fill of a front, sent on when an answer is overdue. */
    private void fill(int me, long object, double work, long avoid, long began) {
        Front front = fronts.get(me);
        if (front.dead != 0) {
            return;
        }
        long now = local(me);
        fills++;
        Leader leader = way == Way.LED && avoid == 0 ? front.region.leaderFor(now, me / 2, object, work) : null;
        StandIn parent = leader != null ? parents.get(leader.parent()) : pair(front, now, object, work, avoid);
        byLeader += leader != null ? 1 : 0;
        decisions.add(net.now).add((long) me).add(object);
        decisions.add(leader == null ? -1 : leader.parent()).add(parent == null ? -1 : parent.id);
        namedGone += leader != null && (parent == null || parent.listed.draining()) ? 1 : 0;
        if (parent == null) {
            direct++;
            fetches.merge(object, 1, Integer::sum);
            net.at(net.now + 50_000, () -> took.add(new long[] {began, net.now - began}));
            return;
        }
        front.region.fillStarted(now, parent.id, object, work, work);
        long asked = net.now;
        boolean[] over = {false};
        parent.asked(object, work, held -> {
            if (!over[0]) {
                over[0] = true;
                front.region.parentResponded(local(me), parent.id, object, net.now - asked, true, held);
                double[] mean = front.latency.computeIfAbsent(parent.id, id -> new double[] {net.now - asked});
                mean[0] += (net.now - asked - mean[0]) * 0.2;
                took.add(new long[] {began, net.now - began});
            }
        });
        net.at(asked + OVERDUE_US, () -> {
            if (!over[0]) {
                over[0] = true;
                if (parent.hangs && firstOverdueAt == 0) {
                    firstOverdueAt = net.now;
                }
                front.latency.computeIfAbsent(parent.id, id -> new double[] {OVERDUE_US})[0] = 2 * OVERDUE_US;
                front.region.responseOverdue(local(me), parent.id, now);
                fill(me, object, work, parent.id, began);
            }
        });
    }

    /** The design's own way: the faster of two parents, drawn anew or the same for an object at every front. */
    private StandIn pair(Front front, long now, long object, double work, long avoid) {
        List<StandIn> fit = new ArrayList<>(parents.values().stream()
                .filter(p -> p.id != avoid && !p.listed.draining() && front.region.hasBudget(now, p.id, work))
                .toList());
        if (way == Way.RANDOM_PAIR) {
            java.util.Collections.shuffle(fit, new java.util.Random(net.random.nextLong()));
        } else {
            fit.sort(java.util.Comparator.comparingLong(p -> DeterministicHash.of(object, p.id)));
        }
        double average =
                front.latency.values().stream().mapToDouble(m -> m[0]).average().orElse(0);
        return fit.isEmpty()
                ? null
                : fit.subList(0, Math.min(2, fit.size())).stream()
                        .min(java.util.Comparator.comparingDouble(
                                p -> front.latency.getOrDefault(p.id, new double[] {average})[0]))
                        .get();
    }

    /** The parent that all fronts that live hold to lead; 0 if they differ. */
    long leader() {
        long found = -1;
        for (Front front : fronts) {
            if (front.dead == 0) {
                Leader leader = front.region.leader(local(front.me));
                long its = leader == null ? 0 : leader.parent();
                found = found == -1 || found == its ? its : 0;
            }
        }
        return Math.max(0, found);
    }

    /** Origin fetches for each part of those wanted since a time. */
    double fetchesAPart(long from, long to, long every) {
        double sum = 0;
        int parts = 0;
        for (long at = from; at < to; at += every) {
            sum += fetches.getOrDefault(DeterministicHash.of(at), 0);
            parts++;
        }
        return sum / parts;
    }

    RegionCoordinator view(int front) {
        return fronts.get(front).region;
    }

    /** A front's process ends for good. */
    void kill(int front) {
        fronts.get(front).dead = net.now + 1;
    }
}
