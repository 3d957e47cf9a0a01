package magpiewheel.region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Tests elections in isolation, under frequently changing leader preferences and faults of the network and the
 * processes.
 */
class ElectionTest {
    private static final int REGION = 77;
    private static final long NO_LEADER = -1;
    private static final long START_MS = 1_800_000_000_000L;

    /**
     * Simulates the elections of several routers under a schedule of faults; fails as soon as two leaders are valid at
     * once.
     */
    static final class ElectionSimulation {
        final SimulatedNetwork net;
        final Election[] routers;
        final double[] clockRates;
        final long[] clockOffsets;
        final boolean[] paused;
        final List<List<Runnable>> deferred = new ArrayList<>();
        final long[] preferredLeaders;
        final Map<Long, Long> leaderByTerm = new HashMap<>();
        final long[] checksWithLease;
        final long seed;
        long checksWithLeader;
        long checks;
        int leaderChanges;
        long lastLeader;

        ElectionSimulation(long seed, int count, double lossShare, double delayedShare) {
            this.seed = seed;
            net = new SimulatedNetwork(seed, count, lossShare, delayedShare);
            routers = new Election[count];
            clockRates = new double[count];
            clockOffsets = new long[count];
            paused = new boolean[count];
            preferredLeaders = new long[count];
            checksWithLease = new long[count];
            for (int i = 0; i < count; i++) {
                clockRates[i] = 1 + (net.random.nextDouble() * 2 - 1) * 0.01;
                clockOffsets[i] = 1_000_000_000L + net.random.nextLong(1_000_000_000L);
                deferred.add(new ArrayList<>());
                start(i);
                int router = i;
                net.every(net.random.nextLong(10_000), 10_000, () -> runOrDefer(router, () -> tick(router)));
            }
        }

        long localTime(int router) {
            return clockOffsets[router] + (long) (net.now * clockRates[router]);
        }

        void start(int router) {
            Election.Delegate delegate = new Election.Delegate() {
                @Override
                public long chooseLeader(long now, long current) {
                    return preferredLeaders[router] == NO_LEADER
                            ? 0
                            : preferredLeaders[router] != 0 ? preferredLeaders[router] : current != 0 ? current : 1;
                }

                @Override
                public RegionMessage.Placement placement(long now, long leader) {
                    return RegionMessage.Placement.NONE;
                }

                @Override
                public RegionMessage.Vote createVote(
                        RegionMessage.Header header,
                        boolean granted,
                        long votedAt,
                        long requestSentAt,
                        long votedTerm) {
                    return new RegionMessage.Vote(
                            header, granted, 0, votedAt, requestSentAt, votedTerm, 0, 0, 0, List.of());
                }
            };
            routers[router] = new Election(
                    localTime(router),
                    new Election.Participants(router, START_MS + net.now / 1_000, REGION, routers.length),
                    0,
                    delegate,
                    (to, bytes) -> net.send(router, to, bytes, this::messageReceived));
        }

        void runOrDefer(int router, Runnable action) {
            if (paused[router]) {
                deferred.get(router).add(action);
            } else {
                action.run();
            }
        }

        void tick(int router) {
            List<Integer> others = IntStream.range(0, routers.length)
                    .filter(i -> i != router && net.reaches(i, router))
                    .boxed()
                    .toList();
            routers[router].tick(localTime(router), others, others.isEmpty());
        }

        void messageReceived(int to, int from, byte[] bytes) {
            runOrDefer(to, () -> {
                RegionMessage message = RegionMessageCodec.decode(bytes);
                if (message instanceof RegionMessage.LeaseRequest request) {
                    routers[to].requestReceived(localTime(to), from, request);
                } else {
                    routers[to].voteReceived(localTime(to), from, (RegionMessage.Vote) message, Set.of(0));
                }
            });
        }

        void resume(int router) {
            paused[router] = false;
            List<Runnable> deferredActions = new ArrayList<>(deferred.get(router));
            deferred.get(router).clear();
            deferredActions.forEach(Runnable::run);
        }

        void scheduleFaults(long end) {
            for (long at = 0; at < end; at += 100_000 + net.random.nextLong(400_000)) {
                int one = net.random.nextInt(routers.length);
                int two = net.random.nextInt(routers.length);
                long length = 50_000 + net.random.nextLong(2_500_000);
                long when = at;
                switch (net.random.nextInt(6)) {
                    case 0 -> {
                        net.at(when, () -> paused[one] = true);
                        net.at(when + length, () -> resume(one));
                    }
                    case 1 ->
                        net.at(when, () -> {
                            if (!paused[one]) {
                                start(one);
                            }
                        });
                    case 2 -> {
                        Set<Integer> partition = new HashSet<>();
                        IntStream.range(0, routers.length)
                                .filter(i -> net.random.nextBoolean())
                                .forEach(partition::add);
                        net.at(when, () -> {
                            for (int i = 0; i < routers.length; i++) {
                                for (int j = 0; j < routers.length; j++) {
                                    net.setBlocked(i, j, partition.contains(i) != partition.contains(j));
                                }
                            }
                        });
                        net.at(when + length, net::heal);
                    }
                    case 3 -> {
                        net.at(when, () -> net.setBlocked(one, two, true));
                        net.at(when + length, () -> net.setBlocked(one, two, false));
                    }
                    case 4 -> net.at(when, () -> java.util.Arrays.fill(preferredLeaders, 1 + net.random.nextInt(3)));
                    default -> net.at(when, () -> preferredLeaders[one] = net.random.nextInt(4));
                }
            }
        }

        void check() {
            long leading = 0;
            for (int i = 0; i < routers.length; i++) {
                Lease lease = paused[i] ? null : routers[i].lease(localTime(i));
                if (lease == null) {
                    continue;
                }
                long before = leaderByTerm.computeIfAbsent(lease.term(), term -> lease.leader());
                assertEquals(before, lease.leader(), "two leaders in term " + lease.term() + ", seed " + seed);
                assertTrue(
                        leading == 0 || leading == lease.leader(),
                        "two leaders with a valid lease at " + net.now + ", seed " + seed);
                leading = lease.leader();
                checksWithLease[i]++;
            }
            checks++;
            checksWithLeader += leading != 0 ? 1 : 0;
            leaderChanges += leading != 0 && leading != lastLeader ? 1 : 0;
            lastLeader = leading != 0 ? leading : lastLeader;
        }
    }

    /** Runs one schedule; returns the number of leader changes and the share of checks at which there was a leader. */
    static double[] runSchedule(long seed, int routers, long us) {
        ElectionSimulation simulation = new ElectionSimulation(seed, routers, 0.02 + seed % 4 * 0.06, 0.05);
        simulation.scheduleFaults(us);
        simulation.net.runUntil(us, simulation::check);
        return new double[] {simulation.leaderChanges, simulation.checksWithLeader / (double) simulation.checks};
    }

    @Property(tries = 120, seed = "19")
    void neverTwoLeadersInATermOrTwoValidLeases(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll @IntRange(min = 3, max = 9) int routers) {
        runSchedule(seed, routers, 12_000_000);
    }

    /**
     * A caller that ticks a router whenever it is due would otherwise tick it forever and never handle the message that
     * ends this state.
     */
    @Test
    void routerThatCannotProposeIsNotDueImmediately() {
        ElectionSimulation simulation = new ElectionSimulation(5, 3, 0, 0);
        Election router = simulation.routers[0];
        long now = simulation.localTime(0) + 10_000_000;
        router.tick(now, List.of(), true);
        assertTrue(router.due(now) > now, "isolated");
        simulation.preferredLeaders[0] = NO_LEADER;
        now += 1_000_000;
        router.tick(now, List.of(1, 2), false);
        assertTrue(router.due(now) > now, "without an eligible parent");
        simulation.preferredLeaders[0] = 1;
        router.tick(now, List.of(1, 2), false);
        assertEquals(0, router.proposer(), "it proposes as soon as a parent is eligible");
    }

    /** Guards against vacuous schedules: leaders must actually be elected and replaced in them. */
    @Test
    void schedulesElectAndReplaceLeaders() {
        double leaderChanges = 0;
        double leaderShare = 0;
        for (long seed = 1; seed <= 20; seed++) {
            double[] figures = runSchedule(seed, 5, 12_000_000);
            leaderChanges += figures[0];
            leaderShare += figures[1] / 20;
        }
        System.out.printf("20 schedules of 12 s: %.0f leaders, led %.3f of the moments%n", leaderChanges, leaderShare);
        assertTrue(leaderChanges > 60, "leader changes " + leaderChanges);
        assertTrue(leaderShare > 0.3, "share of checks with a leader " + leaderShare);
    }

    @Test
    void healthyRegionHasOneLeaderAtAllRouters() {
        ElectionSimulation simulation = new ElectionSimulation(3, 8, 0.05, 0);
        simulation.net.runUntil(2_000_000, () -> {});
        java.util.Arrays.fill(simulation.checksWithLease, 0);
        simulation.checks = 0;
        simulation.net.runUntil(30_000_000, simulation::check);
        assertEquals(1, simulation.leaderByTerm.values().stream().distinct().count());
        for (long checksWithLease : simulation.checksWithLease) {
            assertTrue(
                    checksWithLease > 0.98 * simulation.checks,
                    "checks with a lease: " + checksWithLease + " of " + simulation.checks);
        }
    }

    @Test
    void preferenceOfTheLeaseHolderTakesEffectAtOnce() {
        ElectionSimulation simulation = new ElectionSimulation(5, 6, 0, 0);
        simulation.net.runUntil(3_000_000, simulation::check);
        java.util.Arrays.fill(simulation.preferredLeaders, 2);
        simulation.net.runUntil(3_120_000, simulation::check);
        for (int i = 0; i < 6; i++) {
            assertEquals(2, simulation.routers[i].lease(simulation.localTime(i)).leader());
        }
    }

    @Test
    void leaderSurvivesTheLossOfTheProposer() {
        ElectionSimulation simulation = new ElectionSimulation(6, 6, 0, 0);
        simulation.net.runUntil(3_000_000, simulation::check);
        simulation.paused[0] = true;
        long[] gaps = {0};
        simulation.net.runUntil(6_000_000, () -> {
            simulation.check();
            gaps[0] += simulation.routers[3].lease(simulation.localTime(3)) == null ? 1 : 0;
        });
        assertTrue(IntStream.range(1, 6).allMatch(i -> simulation.routers[i].lease(simulation.localTime(i)) != null));
        assertEquals(0, gaps[0]);
        assertEquals(1, simulation.leaderChanges);
    }

    @Test
    void onlyTheMajorityOfAPartitionHasALeader() {
        ElectionSimulation simulation = new ElectionSimulation(7, 5, 0, 0);
        simulation.net.runUntil(3_000_000, simulation::check);
        for (int i = 0; i < 2; i++) {
            for (int j = 2; j < 5; j++) {
                simulation.net.setBlocked(i, j, true);
                simulation.net.setBlocked(j, i, true);
            }
        }
        simulation.net.runUntil(6_000_000, simulation::check);
        assertNull(simulation.routers[0].lease(simulation.localTime(0)));
        assertNull(simulation.routers[1].lease(simulation.localTime(1)));
        assertTrue(IntStream.range(2, 5).allMatch(i -> simulation.routers[i].lease(simulation.localTime(i)) != null));
    }

    /** One router in isolation; records the messages that it sends. */
    private static final class SingleRouter {
        final List<RegionMessage> sent = new ArrayList<>();
        final Election election;

        SingleRouter(int routerId, long now, long startedMs) {
            ElectionSimulation simulation = new ElectionSimulation(1, 5, 0, 0);
            simulation.start(routerId);
            election = new Election(
                    now,
                    new Election.Participants(routerId, startedMs, REGION, 5),
                    0,
                    new Election.Delegate() {
                        @Override
                        public long chooseLeader(long at, long current) {
                            return current != 0 ? current : 1;
                        }

                        @Override
                        public RegionMessage.Placement placement(long at, long leader) {
                            return RegionMessage.Placement.NONE;
                        }

                        @Override
                        public RegionMessage.Vote createVote(
                                RegionMessage.Header header,
                                boolean granted,
                                long votedAt,
                                long requestSentAt,
                                long votedTerm) {
                            return new RegionMessage.Vote(
                                    header, granted, 0, votedAt, requestSentAt, votedTerm, 0, 0, 0, List.of());
                        }
                    },
                    (to, bytes) -> sent.add(RegionMessageCodec.decode(bytes)));
        }

        RegionMessage.Vote requestVote(long now, int from, long termCounter, long leader, long startedMs) {
            sent.clear();
            election.requestReceived(
                    now,
                    from,
                    new RegionMessage.LeaseRequest(
                            new RegionMessage.Header(REGION, termCounter << 16 | from, startedMs),
                            leader,
                            5,
                            0,
                            0,
                            0,
                            RegionMessage.Placement.NONE));
            return sent.isEmpty() ? null : (RegionMessage.Vote) sent.get(0);
        }
    }

    @Test
    void startedRouterDoesNotVoteUntilEarlierPromisesExpired() {
        SingleRouter single = new SingleRouter(2, 0, START_MS);
        assertNull(single.requestVote(1_000, 0, START_MS + 5, 9, START_MS));
        assertNull(single.requestVote(Lease.PROMISE_US, 0, START_MS + 5, 9, START_MS));
        assertTrue(single.requestVote(Lease.STARTUP_SILENCE_US, 0, START_MS + 5, 9, START_MS)
                .granted());
    }

    @Test
    void voteBindsWithinItsTermAndUntilItsPromiseExpires() {
        SingleRouter single = new SingleRouter(2, 0, START_MS);
        long t = 1_000_000;
        assertTrue(single.requestVote(t, 0, START_MS + 5, 9, START_MS).granted());
        assertTrue(single.requestVote(t + 1, 0, START_MS + 5, 9, START_MS).granted(), "a renewal");
        assertFalse(
                single.requestVote(t + 2, 0, START_MS + 5, 8, START_MS).granted(), "another leader in the same term");
        assertFalse(single.requestVote(t + 3, 1, START_MS + 4, 9, START_MS).granted(), "an earlier term");
        assertFalse(single.requestVote(t + 4, 1, START_MS + 6, 8, START_MS).granted(), "it promised another leader");
        assertTrue(single.requestVote(t + Lease.PROMISE_US + 2, 1, START_MS + 7, 8, START_MS)
                .granted());
        assertNull(single.requestVote(t + 9, 3, START_MS + 9 << 16, 8, START_MS), "a term days ahead of the clock");
    }

    @Test
    void votesOfOtherTermsZonesOrProcessesAreIgnored() {
        SingleRouter single = new SingleRouter(0, 0, START_MS);
        long t = 2_000_000;
        single.election.tick(t, List.of(1, 2, 3, 4), false);
        long term = single.sent.get(0).header().term();
        long now = t + 1;
        assertFalse(
                single.election.voteReceived(now, 1, vote(term - 65_536, START_MS, 0, t), Set.of(0)), "an old term");
        assertFalse(
                single.election.voteReceived(now, 1, vote(term, START_MS, 7, t), Set.of(0)),
                "a zone of another region");
        assertFalse(
                single.election.voteReceived(now, 1, vote(term, START_MS, 0, t - 1), Set.of(0)),
                "the echoed request precedes the term");
        assertTrue(single.election.voteReceived(now, 1, vote(term, START_MS + 100, 0, t), Set.of(0)));
        assertFalse(single.election.holdsLease(now), "two of five are a minority");
        assertFalse(
                single.election.voteReceived(now, 1, vote(term, START_MS, 0, t), Set.of(0)),
                "sent before the voter restarted");
        single.election.voteReceived(now, 1, vote(term, START_MS + 100, 0, t), Set.of(0));
        assertFalse(single.election.holdsLease(now), "a duplicated vote counts once");
        assertTrue(single.election.voteReceived(now, 2, vote(term, START_MS, 0, t), Set.of(0)));
        assertTrue(single.election.holdsLease(now));
        assertEquals(t + Lease.VALIDITY_US, single.election.lease(now).untilUs(), "the lease counts from the request");
    }

    private static RegionMessage.Vote vote(long term, long startedMs, int zone, long requestSentAt) {
        return new RegionMessage.Vote(
                new RegionMessage.Header(REGION, term, startedMs),
                true,
                zone,
                1,
                requestSentAt,
                term,
                0,
                0,
                0,
                List.of());
    }
}
