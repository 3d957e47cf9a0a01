package magpiewheel.region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Whole regions in virtual time; verdicts are of what stand-in parents and the origin saw. */
class RegionCoordinatorTest {
    private static final long S = 1_000_000;

    /** Origin fetches for each part with each object wanted in four branches at once, in steady state. */
    static double fetches(long seed, RegionWorld.Way way) {
        RegionWorld world = new RegionWorld(seed, way, 0.05, 4, 1_000);
        world.wanted(2 * S, 22 * S, 20_000, 40_000, 1);
        world.net.runUntil(23 * S, () -> {});
        return world.fetchesAPart(12 * S, 22 * S, 20_000);
    }

    @Test
    void anObjectWantedInFourBranchesLeavesTheOriginOnce() {
        double led = fetches(1, RegionWorld.Way.LED);
        double pair = fetches(1, RegionWorld.Way.PAIR_BY_OBJECT);
        double random = fetches(1, RegionWorld.Way.RANDOM_PAIR);
        System.out.printf(
                "origin fetches a part: led %.3f, pair by object %.3f, random pair %.3f%n", led, pair, random);
        assertTrue(led <= 1.05, "led " + led);
        assertTrue(random > 1.5, "random " + random);
    }

    /**
     * From the first overdue answer of a hung leader until no front holds to it and all hold to another; and who it
     * hit.
     */
    static long hung(long seed, boolean lonely) {
        RegionWorld world = new RegionWorld(seed, RegionWorld.Way.LED, 0.05, 4, 1_000);
        world.wanted(2 * S, 20 * S, 25_000, 40_000, 1);
        long[] hung = {0};
        // At any moment one front may be between two leases: the first moment at which all hold to one will do.
        world.net.every(8 * S + seed * 7_919 % S, 10_000, () -> {
            if (hung[0] == 0 && world.leader() != 0) {
                hung[0] = world.leader();
                world.parents.get(hung[0]).hangs = true;
                if (lonely) {
                    world.kill((int) (seed % RegionWorld.FRONTS));
                }
            }
        });
        long[] replaced = {0};
        world.net.runUntil(14 * S, () -> {
            long leads = hung[0] == 0 ? 0 : world.leader();
            if (replaced[0] == 0 && leads != 0 && leads != hung[0]) {
                replaced[0] = world.net.now;
            }
        });
        assertTrue(hung[0] != 0, "no leader to hang, seed " + seed);
        assertTrue(world.firstOverdueAt > 0 && replaced[0] > 0, "not replaced, seed " + seed);
        return replaced[0] - world.firstOverdueAt;
    }

    @Property(tries = 30, seed = "31")
    void aHungLeaderIsReplacedWithinASecondOfItsFirstOverdueAnswer(@ForAll @LongRange(min = 1, max = 1_000) long seed) {
        assertTrue(hung(seed, false) <= S, "seed " + seed);
    }

    /** Use of what a cold parent bears, at most, through a hand-over to cold parents; above 1 it falls. */
    static double[] handOver(long seed) {
        RegionWorld world = new RegionWorld(seed, RegionWorld.Way.LED, 0.05, 3, 300);
        world.wanted(2 * S, 28 * S, 10_000, 30_000, 1);
        world.net.at(8 * S, () -> {
            long leader = world.leader();
            // The others have just started; the leader drains a moment later.
            for (RegionWorld.StandIn parent : world.parents.values()) {
                if (parent.id != leader) {
                    parent.held.clear();
                    parent.work.clear();
                    parent.listed = new Parent(parent.id, 0, 100, 300, world.net.now, false);
                }
            }
            world.list();
            world.net.at(8_500_000, () -> {
                if (leader != 0) {
                    Parent old = world.parents.get(leader).listed;
                    world.parents.get(leader).listed = new Parent(leader, 0, old.linkCapacity(), 300, 0, true);
                }
                world.list();
            });
        });
        world.net.runUntil(30 * S, () -> {});
        double most = 0;
        double falls = 0;
        for (RegionWorld.StandIn parent : world.parents.values()) {
            most = Math.max(most, parent.most);
            falls += parent.fallen ? 1 : 0;
        }
        return new double[] {most, falls, world.namedGone, world.byLeader / (double) world.fills, world.leader()};
    }

    @Property(tries = 12, seed = "37")
    void noColdParentGetsMoreThanItBears(@ForAll @LongRange(min = 1, max = 1_000) long seed) {
        double[] figures = handOver(seed);
        assertTrue(figures[0] <= 1 && figures[1] == 0, "use " + figures[0] + ", seed " + seed);
        assertEquals(0, figures[2], "a draining parent was named, seed " + seed);
        assertTrue(figures[4] != 0, "nobody leads in the end, seed " + seed);
        assertTrue(figures[3] > 0.4, "led only " + figures[3] + ", seed " + seed);
    }

    /** First bytes that jitter elect nobody new; a parent that stays four times as slow is left. */
    @Test
    void noiseElectsNobodyAndALastingSlownessDoes() {
        RegionWorld world = new RegionWorld(5, RegionWorld.Way.LED, 0.05, 4, 1_000);
        world.wanted(2 * S, 60 * S, 20_000, 40_000, 1);
        Map<Long, Integer> terms = new HashMap<>();
        long[] was = {0};
        int[] changes = {0};
        Runnable look = () -> {
            long now = world.leader();
            changes[0] += now != 0 && was[0] != 0 && now != was[0] ? 1 : 0;
            was[0] = now != 0 ? now : was[0];
            terms.merge(now, 1, Integer::sum);
        };
        world.net.runUntil(30 * S, look);
        assertEquals(0, changes[0]);
        world.parents.get(was[0]).slowUs = 200_000;
        long slow = was[0];
        world.net.runUntil(60 * S, look);
        assertTrue(was[0] != slow);
        assertEquals(1, changes[0]);
    }

    /**
     * The most of a parent's link in use in any second from 4 s on while a branch's load doubles; and the leaders
     * after.
     */
    static double[] split(long seed) {
        RegionWorld world = new RegionWorld(seed, RegionWorld.Way.LED, 0.05, 3, 1_000, 18);
        world.wanted(S, 40 * S, 1_000_000 / 18, 40_000, 1);
        world.grows(0, 12 * S, 40 * S, 1_000_000 / 18, 36);
        world.net.runUntil(11 * S, () -> {});
        double regions = world.view(0).assignment().regions().size();
        world.net.runUntil(41 * S, () -> {});
        double most = world.parents.values().stream()
                .flatMap(p -> p.carried.values().stream())
                .mapToDouble(c -> c / 100)
                .max()
                .getAsDouble();
        for (int i = 0; i < RegionWorld.FRONTS; i++) {
            assertEquals(
                    world.view(0).assignment().regions(),
                    world.view(i).assignment().regions(),
                    "seed " + seed);
        }
        // A front may be without a leader at a moment: what they hold to over the last second counts.
        Set<Long> leading = new HashSet<>();
        Set<Integer> led = new HashSet<>();
        world.net.runUntil(
                42 * S,
                () -> IntStream.range(0, RegionWorld.FRONTS).forEach(i -> {
                    Leader leader = world.view(i).leader(world.local(i));
                    if (leader != null) {
                        leading.add(leader.parent());
                        led.add(i);
                    }
                }));
        assertEquals(RegionWorld.FRONTS, led.size(), "a front without a leader for a second, seed " + seed);
        long leaders = leading.size();
        return new double[] {regions, world.view(0).assignment().regions().size(), leaders, most};
    }

    @Test
    void aRegionThatOutgrowsAParentIsSplitAndEachHalfHasItsOwn() {
        for (long seed = 1; seed <= 5; seed++) {
            double[] figures = split(seed);
            assertEquals(1, figures[0]);
            assertEquals(2, figures[1]);
            assertEquals(2, figures[2], "one parent leads both, seed " + seed);
            assertTrue(figures[3] <= 1.1, "link " + figures[3] + ", seed " + seed);
        }
    }

    @Test
    void theEndOfTheProposerLeavesTheRegionLed() {
        RegionWorld world = new RegionWorld(6, RegionWorld.Way.LED, 0.05, 4, 1_000);
        world.net.runUntil(5 * S, () -> {});
        long before = world.leader();
        assertTrue(world.view(0).holdsLease(world.local(0)));
        world.kill(0);
        world.net.runUntil(7 * S, () -> {});
        assertTrue(before != 0);
        assertEquals(before, world.leader());
    }
}
