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

/** Tests whole regions in virtual time; results are judged by what the simulated parents and the origin observed. */
class RegionCoordinatorTest {
    private static final long SECOND_US = 1_000_000;

    /**
     * Returns the mean number of origin fetches of each object in steady state, when each object is requested in four
     * zones at once.
     */
    static double originFetches(long seed, SimulatedRegions.SourcePolicy policy) {
        SimulatedRegions world = new SimulatedRegions(seed, policy, 0.05, 4, 1_000);
        world.requestInAllZones(2 * SECOND_US, 22 * SECOND_US, 20_000, 40_000, 1);
        world.net.runUntil(23 * SECOND_US, () -> {});
        return world.originFetchesPerObject(12 * SECOND_US, 22 * SECOND_US, 20_000);
    }

    @Test
    void objectRequestedInFourZonesIsFetchedFromTheOriginOnce() {
        double ledFetches = originFetches(1, SimulatedRegions.SourcePolicy.LED);
        double pair = originFetches(1, SimulatedRegions.SourcePolicy.PAIR_BY_OBJECT);
        double random = originFetches(1, SimulatedRegions.SourcePolicy.RANDOM_PAIR);
        System.out.printf(
                "origin fetches a part: led %.3f, pair by object %.3f, random pair %.3f%n", ledFetches, pair, random);
        assertTrue(ledFetches <= 1.05, "led " + ledFetches);
        assertTrue(random > 1.5, "random " + random);
    }

    /**
     * Returns the time from the first overdue response of a hung leader until no router follows it and all follow
     * another one. {@code killRouter} also stops one router.
     */
    static long replacementUs(long seed, boolean killRouter) {
        SimulatedRegions world = new SimulatedRegions(seed, SimulatedRegions.SourcePolicy.LED, 0.05, 4, 1_000);
        world.requestInAllZones(2 * SECOND_US, 20 * SECOND_US, 25_000, 40_000, 1);
        long[] hungLeader = {0};
        // A router may be between two leases at any time, so this waits until all follow the same leader.
        world.net.every(8 * SECOND_US + seed * 7_919 % SECOND_US, 10_000, () -> {
            if (hungLeader[0] == 0 && world.leader() != 0) {
                hungLeader[0] = world.leader();
                world.parents.get(hungLeader[0]).hangs = true;
                if (killRouter) {
                    world.kill((int) (seed % SimulatedRegions.ROUTERS));
                }
            }
        });
        long[] replaced = {0};
        world.net.runUntil(14 * SECOND_US, () -> {
            long currentLeader = hungLeader[0] == 0 ? 0 : world.leader();
            if (replaced[0] == 0 && currentLeader != 0 && currentLeader != hungLeader[0]) {
                replaced[0] = world.net.now;
            }
        });
        assertTrue(hungLeader[0] != 0, "no leader was elected that could hang, seed " + seed);
        assertTrue(world.firstOverdueAt > 0 && replaced[0] > 0, "hung leader not replaced, seed " + seed);
        return replaced[0] - world.firstOverdueAt;
    }

    @Property(tries = 30, seed = "31")
    void hungLeaderIsReplacedWithinASecondOfItsFirstOverdueResponse(
            @ForAll @LongRange(min = 1, max = 1_000) long seed) {
        assertTrue(replacementUs(seed, false) <= SECOND_US, "seed " + seed);
    }

    /**
     * Hands over to parents that have just started. Returns the largest utilization of what a warming parent tolerates
     * (it fails above 1), the number of overloaded parents, how often a draining parent was selected, the share of
     * fills sent to the leader, and the final leader.
     */
    static double[] handover(long seed) {
        SimulatedRegions world = new SimulatedRegions(seed, SimulatedRegions.SourcePolicy.LED, 0.05, 3, 300);
        world.requestInAllZones(2 * SECOND_US, 28 * SECOND_US, 10_000, 30_000, 1);
        world.net.at(8 * SECOND_US, () -> {
            long leader = world.leader();
            // The other parents restart cold; the leader drains half a second later.
            for (SimulatedRegions.SimulatedParent parent : world.parents.values()) {
                if (parent.id != leader) {
                    parent.cachedObjects.clear();
                    parent.recentWork.clear();
                    parent.entry = new Parent(parent.id, 0, 100, 300, world.net.now, false);
                }
            }
            world.publishParents();
            world.net.at(8_500_000, () -> {
                if (leader != 0) {
                    Parent old = world.parents.get(leader).entry;
                    world.parents.get(leader).entry = new Parent(leader, 0, old.linkCapacity(), 300, 0, true);
                }
                world.publishParents();
            });
        });
        world.net.runUntil(30 * SECOND_US, () -> {});
        double maxUtilization = 0;
        double overloadedParents = 0;
        for (SimulatedRegions.SimulatedParent parent : world.parents.values()) {
            maxUtilization = Math.max(maxUtilization, parent.maxUtilization);
            overloadedParents += parent.overloaded ? 1 : 0;
        }
        return new double[] {
            maxUtilization,
            overloadedParents,
            world.drainingSelected,
            world.fillsByLeader / (double) world.fills,
            world.leader()
        };
    }

    @Property(tries = 12, seed = "37")
    void warmingParentsAreNotOverloaded(@ForAll @LongRange(min = 1, max = 1_000) long seed) {
        double[] figures = handover(seed);
        assertTrue(figures[0] <= 1 && figures[1] == 0, "utilization " + figures[0] + ", seed " + seed);
        assertEquals(0, figures[2], "a draining parent was selected, seed " + seed);
        assertTrue(figures[4] != 0, "no leader at the end, seed " + seed);
        assertTrue(figures[3] > 0.4, "share of fills sent to the leader " + figures[3] + ", seed " + seed);
    }

    /** Jitter of first-byte times does not change the leader; a parent that stays four times as slow is replaced. */
    @Test
    void noiseKeepsTheLeaderAndLastingSlownessReplacesIt() {
        SimulatedRegions world = new SimulatedRegions(5, SimulatedRegions.SourcePolicy.LED, 0.05, 4, 1_000);
        world.requestInAllZones(2 * SECOND_US, 60 * SECOND_US, 20_000, 40_000, 1);
        Map<Long, Integer> terms = new HashMap<>();
        long[] lastLeader = {0};
        int[] changes = {0};
        Runnable observeLeader = () -> {
            long now = world.leader();
            changes[0] += now != 0 && lastLeader[0] != 0 && now != lastLeader[0] ? 1 : 0;
            lastLeader[0] = now != 0 ? now : lastLeader[0];
            terms.merge(now, 1, Integer::sum);
        };
        world.net.runUntil(30 * SECOND_US, observeLeader);
        assertEquals(0, changes[0]);
        world.parents.get(lastLeader[0]).extraLatencyUs = 200_000;
        long slow = lastLeader[0];
        world.net.runUntil(60 * SECOND_US, observeLeader);
        assertTrue(lastLeader[0] != slow);
        assertEquals(1, changes[0]);
    }

    /**
     * Doubles the load of one zone. Returns the numbers of regions before and after, the number of leading parents
     * after, and the largest utilization of a parent's link in any second.
     */
    static double[] splitRegion(long seed) {
        SimulatedRegions world = new SimulatedRegions(seed, SimulatedRegions.SourcePolicy.LED, 0.05, 3, 1_000, 18);
        world.requestInAllZones(SECOND_US, 40 * SECOND_US, 1_000_000 / 18, 40_000, 1);
        world.requestInOneZone(0, 12 * SECOND_US, 40 * SECOND_US, 1_000_000 / 18, 36);
        world.net.runUntil(11 * SECOND_US, () -> {});
        double regionsBefore = world.coordinator(0).assignment().regions().size();
        world.net.runUntil(41 * SECOND_US, () -> {});
        double maxUtilization = world.parents.values().stream()
                .flatMap(p -> p.linkLoadBySecond.values().stream())
                .mapToDouble(c -> c / 100)
                .max()
                .getAsDouble();
        for (int i = 0; i < SimulatedRegions.ROUTERS; i++) {
            assertEquals(
                    world.coordinator(0).assignment().regions(),
                    world.coordinator(i).assignment().regions(),
                    "seed " + seed);
        }
        // A router may briefly have no leader, so the leaders followed in the last second count.
        Set<Long> leadingParents = new HashSet<>();
        Set<Integer> ledRouters = new HashSet<>();
        world.net.runUntil(
                42 * SECOND_US,
                () -> IntStream.range(0, SimulatedRegions.ROUTERS).forEach(i -> {
                    Leader leader = world.coordinator(i).leader(world.localTime(i));
                    if (leader != null) {
                        leadingParents.add(leader.parent());
                        ledRouters.add(i);
                    }
                }));
        assertEquals(
                SimulatedRegions.ROUTERS, ledRouters.size(), "a router without a leader for a second, seed " + seed);
        long leaders = leadingParents.size();
        return new double[] {
            regionsBefore, world.coordinator(0).assignment().regions().size(), leaders, maxUtilization
        };
    }

    @Test
    void regionThatOutgrowsAParentIsSplitAndEachPartHasItsOwnLeader() {
        for (long seed = 1; seed <= 5; seed++) {
            double[] figures = splitRegion(seed);
            assertEquals(1, figures[0]);
            assertEquals(2, figures[1]);
            assertEquals(2, figures[2], "one parent leads both regions, seed " + seed);
            assertTrue(figures[3] <= 1.1, "link utilization " + figures[3] + ", seed " + seed);
        }
    }

    @Test
    void leaderSurvivesTheFailureOfTheProposer() {
        SimulatedRegions world = new SimulatedRegions(6, SimulatedRegions.SourcePolicy.LED, 0.05, 4, 1_000);
        world.net.runUntil(5 * SECOND_US, () -> {});
        long before = world.leader();
        assertTrue(world.coordinator(0).holdsLease(world.localTime(0)));
        world.kill(0);
        world.net.runUntil(7 * SECOND_US, () -> {});
        assertTrue(before != 0);
        assertEquals(before, world.leader());
    }
}
