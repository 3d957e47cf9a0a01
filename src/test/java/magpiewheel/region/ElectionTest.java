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
 * Elections alone, with fronts whose wishes change as badly as they can, under every fault of the network and the
 * process.
 */
class ElectionTest {
    private static final int REGION = 77;
    private static final long NOBODY = -1;
    private static final long START_MS = 1_800_000_000_000L;

    /** A schedule of faults over some fronts; it fails at the first moment with two leaders. */
    static final class World {
        final SimulatedNetwork net;
        final Election[] fronts;
        final double[] rate;
        final long[] offset;
        final boolean[] paused;
        final List<List<Runnable>> waiting = new ArrayList<>();
        final long[] wish;
        final Map<Long, Long> leaderByTerm = new HashMap<>();
        final long[] led;
        final long seed;
        long ledMoments;
        long moments;
        int leaders;
        long lastLeader;

        World(long seed, int count, double loss, double late) {
            this.seed = seed;
            net = new SimulatedNetwork(seed, count, loss, late);
            fronts = new Election[count];
            rate = new double[count];
            offset = new long[count];
            paused = new boolean[count];
            wish = new long[count];
            led = new long[count];
            for (int i = 0; i < count; i++) {
                rate[i] = 1 + (net.random.nextDouble() * 2 - 1) * 0.01;
                offset[i] = 1_000_000_000L + net.random.nextLong(1_000_000_000L);
                waiting.add(new ArrayList<>());
                start(i);
                int me = i;
                net.every(net.random.nextLong(10_000), 10_000, () -> run(me, () -> tick(me)));
            }
        }

        long local(int front) {
            return offset[front] + (long) (net.now * rate[front]);
        }

        void start(int me) {
            Election.Delegate mind = new Election.Delegate() {
                @Override
                public long chooseLeader(long now, long current) {
                    return wish[me] == NOBODY ? 0 : wish[me] != 0 ? wish[me] : current != 0 ? current : 1;
                }

                @Override
                public RegionMessage.Placement placement(long now, long leader) {
                    return RegionMessage.Placement.NONE;
                }

                @Override
                public RegionMessage.Vote createVote(
                        RegionMessage.Header head, boolean yes, long clock, long echo, long holdsTo) {
                    return new RegionMessage.Vote(head, yes, 0, clock, echo, holdsTo, 0, 0, 0, List.of());
                }
            };
            fronts[me] = new Election(
                    local(me),
                    new Election.Participants(me, START_MS + net.now / 1_000, REGION, fronts.length),
                    0,
                    mind,
                    (to, bytes) -> net.send(me, to, bytes, this::messageReceived));
        }

        void run(int front, Runnable does) {
            if (paused[front]) {
                waiting.get(front).add(does);
            } else {
                does.run();
            }
        }

        void tick(int me) {
            List<Integer> others = IntStream.range(0, fronts.length)
                    .filter(i -> i != me && net.reaches(i, me))
                    .boxed()
                    .toList();
            fronts[me].tick(local(me), others, others.isEmpty());
        }

        void messageReceived(int to, int from, byte[] bytes) {
            run(to, () -> {
                RegionMessage message = RegionMessageCodec.decode(bytes);
                if (message instanceof RegionMessage.LeaseRequest ask) {
                    fronts[to].requestReceived(local(to), from, ask);
                } else {
                    fronts[to].voteReceived(local(to), from, (RegionMessage.Vote) message, Set.of(0));
                }
            });
        }

        void resume(int front) {
            paused[front] = false;
            List<Runnable> held = new ArrayList<>(waiting.get(front));
            waiting.get(front).clear();
            held.forEach(Runnable::run);
        }

        void faults(long end) {
            for (long at = 0; at < end; at += 100_000 + net.random.nextLong(400_000)) {
                int one = net.random.nextInt(fronts.length);
                int two = net.random.nextInt(fronts.length);
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
                        Set<Integer> side = new HashSet<>();
                        IntStream.range(0, fronts.length)
                                .filter(i -> net.random.nextBoolean())
                                .forEach(side::add);
                        net.at(when, () -> {
                            for (int i = 0; i < fronts.length; i++) {
                                for (int j = 0; j < fronts.length; j++) {
                                    net.cut(i, j, side.contains(i) != side.contains(j));
                                }
                            }
                        });
                        net.at(when + length, net::heal);
                    }
                    case 3 -> {
                        net.at(when, () -> net.cut(one, two, true));
                        net.at(when + length, () -> net.cut(one, two, false));
                    }
                    case 4 -> net.at(when, () -> java.util.Arrays.fill(wish, 1 + net.random.nextInt(3)));
                    default -> net.at(when, () -> wish[one] = net.random.nextInt(4));
                }
            }
        }

        void check() {
            long leading = 0;
            for (int i = 0; i < fronts.length; i++) {
                Lease lease = paused[i] ? null : fronts[i].lease(local(i));
                if (lease == null) {
                    continue;
                }
                long before = leaderByTerm.computeIfAbsent(lease.term(), term -> lease.leader());
                assertEquals(before, lease.leader(), "two leaders in term " + lease.term() + ", seed " + seed);
                assertTrue(leading == 0 || leading == lease.leader(), "two leases at " + net.now + ", seed " + seed);
                leading = lease.leader();
                led[i]++;
            }
            moments++;
            ledMoments += leading != 0 ? 1 : 0;
            leaders += leading != 0 && leading != lastLeader ? 1 : 0;
            lastLeader = leading != 0 ? leading : lastLeader;
        }
    }

    /** What a schedule came to: leaders after one another, and the share of moments with one. */
    static double[] play(long seed, int fronts, long us) {
        World world = new World(seed, fronts, 0.02 + seed % 4 * 0.06, 0.05);
        world.faults(us);
        world.net.runUntil(us, world::check);
        return new double[] {world.leaders, world.ledMoments / (double) world.moments};
    }

    @Property(tries = 120, seed = "19")
    void neverTwoLeadersInATermNorTwoLeasesAtAMoment(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll @IntRange(min = 3, max = 9) int fronts) {
        play(seed, fronts, 12_000_000);
    }

    /** Else who drives it would call it for ever, and hear no message that ends this. */
    @Test
    void whoCanProposeNobodyIsNotDueAtOnceAgain() {
        World world = new World(5, 3, 0, 0);
        Election front = world.fronts[0];
        long now = world.local(0) + 10_000_000;
        front.tick(now, List.of(), true);
        assertTrue(front.due(now) > now, "alone");
        world.wish[0] = NOBODY;
        now += 1_000_000;
        front.tick(now, List.of(1, 2), false);
        assertTrue(front.due(now) > now, "without a fit parent");
        world.wish[0] = 1;
        front.tick(now, List.of(1, 2), false);
        assertEquals(0, front.proposer(), "yet it proposes as soon as it can");
    }

    /** The schedules are no empty proof: leaders are elected, replaced and followed in them. */
    @Test
    void leadersComeAndGoInTheSchedules() {
        double leaders = 0;
        double led = 0;
        for (long seed = 1; seed <= 20; seed++) {
            double[] figures = play(seed, 5, 12_000_000);
            leaders += figures[0];
            led += figures[1] / 20;
        }
        System.out.printf("20 schedules of 12 s: %.0f leaders, led %.3f of the moments%n", leaders, led);
        assertTrue(leaders > 60, "leaders " + leaders);
        assertTrue(led > 0.3, "led " + led);
    }

    @Test
    void aSoundRegionIsLedAllTheTimeByEveryFront() {
        World world = new World(3, 8, 0.05, 0);
        world.net.runUntil(2_000_000, () -> {});
        java.util.Arrays.fill(world.led, 0);
        world.moments = 0;
        world.net.runUntil(30_000_000, world::check);
        assertEquals(1, world.leaderByTerm.values().stream().distinct().count());
        for (long led : world.led) {
            assertTrue(led > 0.98 * world.moments, "led " + led + " of " + world.moments);
        }
    }

    @Test
    void aNewWishOfTheHolderIsFollowedAtOnce() {
        World world = new World(5, 6, 0, 0);
        world.net.runUntil(3_000_000, world::check);
        java.util.Arrays.fill(world.wish, 2);
        world.net.runUntil(3_120_000, world::check);
        for (int i = 0; i < 6; i++) {
            assertEquals(2, world.fronts[i].lease(world.local(i)).leader());
        }
    }

    @Test
    void theProposersLossLeavesTheLeader() {
        World world = new World(6, 6, 0, 0);
        world.net.runUntil(3_000_000, world::check);
        world.paused[0] = true;
        long[] gaps = {0};
        world.net.runUntil(6_000_000, () -> {
            world.check();
            gaps[0] += world.fronts[3].lease(world.local(3)) == null ? 1 : 0;
        });
        assertTrue(IntStream.range(1, 6).allMatch(i -> world.fronts[i].lease(world.local(i)) != null));
        assertEquals(0, gaps[0]);
        assertEquals(1, world.leaders);
    }

    @Test
    void aMinorityHasNoLeaderAndAMajorityHas() {
        World world = new World(7, 5, 0, 0);
        world.net.runUntil(3_000_000, world::check);
        for (int i = 0; i < 2; i++) {
            for (int j = 2; j < 5; j++) {
                world.net.cut(i, j, true);
                world.net.cut(j, i, true);
            }
        }
        world.net.runUntil(6_000_000, world::check);
        assertNull(world.fronts[0].lease(world.local(0)));
        assertNull(world.fronts[1].lease(world.local(1)));
        assertTrue(IntStream.range(2, 5).allMatch(i -> world.fronts[i].lease(world.local(i)) != null));
    }

    /** A front alone with its messages: what it sends is kept. */
    private static final class Alone {
        final List<RegionMessage> sent = new ArrayList<>();
        final Election front;

        Alone(int me, long now, long startedMs) {
            World world = new World(1, 5, 0, 0);
            world.start(me);
            front = new Election(
                    now,
                    new Election.Participants(me, startedMs, REGION, 5),
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
                                RegionMessage.Header head, boolean yes, long clock, long echo, long holdsTo) {
                            return new RegionMessage.Vote(head, yes, 0, clock, echo, holdsTo, 0, 0, 0, List.of());
                        }
                    },
                    (to, bytes) -> sent.add(RegionMessageCodec.decode(bytes)));
        }

        RegionMessage.Vote ask(long now, int from, long counter, long leader, long startedMs) {
            sent.clear();
            front.requestReceived(
                    now,
                    from,
                    new RegionMessage.LeaseRequest(
                            new RegionMessage.Header(REGION, counter << 16 | from, startedMs),
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
    void aFrontThatStartedVotesForNothingUntilALeaseHasPassed() {
        Alone alone = new Alone(2, 0, START_MS);
        assertNull(alone.ask(1_000, 0, START_MS + 5, 9, START_MS));
        assertNull(alone.ask(Lease.PROMISE_US, 0, START_MS + 5, 9, START_MS));
        assertTrue(alone.ask(Lease.STARTUP_SILENCE_US, 0, START_MS + 5, 9, START_MS)
                .granted());
    }

    @Test
    void aVoteIsGivenOnceATermAndBindsUntilItsPromiseHasRunOut() {
        Alone alone = new Alone(2, 0, START_MS);
        long t = 1_000_000;
        assertTrue(alone.ask(t, 0, START_MS + 5, 9, START_MS).granted());
        assertTrue(alone.ask(t + 1, 0, START_MS + 5, 9, START_MS).granted(), "a renewal");
        assertFalse(alone.ask(t + 2, 0, START_MS + 5, 8, START_MS).granted(), "another leader in the same term");
        assertFalse(alone.ask(t + 3, 1, START_MS + 4, 9, START_MS).granted(), "an old term");
        assertFalse(alone.ask(t + 4, 1, START_MS + 6, 8, START_MS).granted(), "it promised");
        assertTrue(alone.ask(t + Lease.PROMISE_US + 2, 1, START_MS + 7, 8, START_MS)
                .granted());
        assertNull(alone.ask(t + 9, 3, START_MS + 9 << 16, 8, START_MS), "a term of days ahead");
    }

    @Test
    void votesOfAnotherTermABranchElsewhereOrBeforeARestartAreRefused() {
        Alone alone = new Alone(0, 0, START_MS);
        long t = 2_000_000;
        alone.front.tick(t, List.of(1, 2, 3, 4), false);
        long term = alone.sent.get(0).header().term();
        long now = t + 1;
        assertFalse(alone.front.voteReceived(now, 1, vote(term - 65_536, START_MS, 0, t), Set.of(0)), "an old term");
        assertFalse(alone.front.voteReceived(now, 1, vote(term, START_MS, 7, t), Set.of(0)), "a branch elsewhere");
        assertFalse(alone.front.voteReceived(now, 1, vote(term, START_MS, 0, t - 1), Set.of(0)), "before it was asked");
        assertTrue(alone.front.voteReceived(now, 1, vote(term, START_MS + 100, 0, t), Set.of(0)));
        assertFalse(alone.front.holdsLease(now), "two of five are a minority");
        assertFalse(alone.front.voteReceived(now, 1, vote(term, START_MS, 0, t), Set.of(0)), "before its restart");
        alone.front.voteReceived(now, 1, vote(term, START_MS + 100, 0, t), Set.of(0));
        assertFalse(alone.front.holdsLease(now), "a doubled vote is one vote");
        assertTrue(alone.front.voteReceived(now, 2, vote(term, START_MS, 0, t), Set.of(0)));
        assertTrue(alone.front.holdsLease(now));
        assertEquals(t + Lease.VALIDITY_US, alone.front.lease(now).untilUs(), "it counts from when it asked");
    }

    private static RegionMessage.Vote vote(long term, long startedMs, int branch, long echo) {
        return new RegionMessage.Vote(
                new RegionMessage.Header(REGION, term, startedMs), true, branch, 1, echo, term, 0, 0, 0, List.of());
    }
}
