package magpiewheel.region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RegionAssignmentTest {
    static RegionTopology shape(long seed, int branches, int parents) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] loads = random.doubles(branches, 0.3, 1.7).toArray();
        int[] hubs = random.ints(branches, 0, 2).toArray();
        List<Parent> list = new ArrayList<>();
        for (int i = 0; i < parents; i++) {
            list.add(new Parent(100 + i, i % 2, 4 + random.nextDouble(), 20, 0, false));
        }
        return new RegionTopology(hubs, loads, list);
    }

    @Property(tries = 300, seed = "23")
    void noRegionIsMoreThanAnyOfItsParentsCarriesAndAllOfAHub(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionTopology shape = shape(seed, 1 + (int) (seed % 24), (int) (seed / 24 % 12));
        RegionAssignment regions = RegionAssignment.of(shape);
        for (int hub = 0; hub < 2; hub++) {
            int of = hub;
            List<Region> all =
                    regions.regions().stream().filter(r -> r.hub() == of).toList();
            double[] carries = shape.parents().stream()
                    .filter(p -> p.hub() == of)
                    .mapToDouble(Parent::linkCapacity)
                    .sorted()
                    .toArray();
            assertTrue(all.size() <= carries.length);
            for (Region region : all) {
                double measured = region.zones().stream()
                        .mapToDouble(b -> shape.loads()[b])
                        .sum();
                assertTrue(
                        measured <= RegionAssignment.MAX_UTILIZATION * carries[carries.length - all.size()] + 1e-9,
                        "seed " + seed);
                assertTrue(region.zones().stream().allMatch(b -> shape.hubByZone()[b] == of));
            }
        }
        for (int branch = 0; branch < shape.hubByZone().length; branch++) {
            int of = branch;
            assertEquals(
                    regions.regionOf(branch) == null ? 0 : 1,
                    regions.regions().stream()
                            .filter(r -> r.zones().contains(of))
                            .count());
        }
    }

    @Property(tries = 100, seed = "29")
    void equalInputGivesEqualRegionsInWhateverOrderItWasTold(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionTopology shape = shape(seed, 16, 8);
        List<Parent> shuffled = new ArrayList<>(shape.parents());
        Collections.shuffle(shuffled, new Random(seed));
        RegionTopology other = new RegionTopology(shape.hubByZone(), shape.loads(), shuffled);
        assertEquals(shape.digest(), other.digest());
        assertEquals(
                RegionAssignment.of(shape).regions(), RegionAssignment.of(other).regions());
    }

    /** The shape with everybody's place told. */
    static RegionTopology homed(RegionTopology shape) {
        RegionAssignment regions = RegionAssignment.of(shape);
        int[] homes =
                IntStream.range(0, shape.loads().length).map(regions::slot).toArray();
        return new RegionTopology(shape.hubByZone(), shape.loads(), homes, shape.parents());
    }

    @Property(tries = 300, seed = "47")
    void whoHasAHomeThatHasRoomStays(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionTopology any = shape(seed, 16, 12);
        // Equal links: with unequal ones a further place makes all of them smaller.
        RegionTopology shape = new RegionTopology(
                any.hubByZone(),
                any.loads(),
                any.parents().stream()
                        .map(p -> new Parent(p.id(), p.hub(), 4.5, 20, 0, false))
                        .toList());
        RegionTopology homed = homed(shape);
        assertEquals(
                RegionAssignment.of(shape).regions(),
                RegionAssignment.of(homed).regions(),
                "told places change nothing, seed " + seed);
        double[] grown = shape.loads().clone();
        grown[(int) (seed % 16)] *= 1.2;
        RegionAssignment after =
                RegionAssignment.of(new RegionTopology(shape.hubByZone(), grown, homed.homeSlots(), shape.parents()));
        int moved = RegionAssignment.migratedZones(RegionAssignment.of(shape), after);
        assertTrue(moved <= 1, "moved " + moved + ", seed " + seed);
    }

    /** Contiguous cuts of the list of branches: the other way that was weighed. */
    static int[] cuts(double[] loads, double room) {
        int[] found = new int[loads.length];
        double taken = 0;
        int slot = 0;
        for (int i = 0; i < loads.length; i++) {
            if (taken + loads[i] > room) {
                slot++;
                taken = 0;
            }
            found[i] = slot;
            taken += loads[i];
        }
        return found;
    }

    /**
     * Moves by mean: a branch's load grows by half, a parent that leads nobody goes, a branch comes; those of the
     * contiguous cuts as a branch comes, and as a load grows; and what a growing load needs (one, if its region grew
     * too large).
     */
    static double[] moves(int shapes) {
        double[] sums = new double[6];
        for (int seed = 0; seed < shapes; seed++) {
            RegionTopology all = shape(seed, 24, 12);
            int[] hubs = new int[24];
            List<Parent> parents = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                parents.add(new Parent(100 + i, 0, 5, 20, 0, false));
            }
            RegionTopology one = homed(new RegionTopology(hubs, all.loads(), parents));
            double[] grown = all.loads().clone();
            grown[seed % 24] *= 1.5;
            sums[0] += RegionAssignment.migratedZones(
                    RegionAssignment.of(one),
                    RegionAssignment.of(new RegionTopology(hubs, grown, one.homeSlots(), parents)));
            sums[1] += RegionAssignment.migratedZones(
                    RegionAssignment.of(one),
                    RegionAssignment.of(
                            new RegionTopology(hubs, all.loads(), one.homeSlots(), parents.subList(1, 12))));
            double[] come = all.loads().clone();
            come[seed % 24] = 0;
            RegionTopology less = homed(new RegionTopology(hubs, come, parents));
            sums[2] += RegionAssignment.migratedZones(
                    RegionAssignment.of(less),
                    RegionAssignment.of(new RegionTopology(hubs, all.loads(), less.homeSlots(), parents)));
            int[] before = cuts(come, RegionAssignment.MAX_UTILIZATION * 5);
            int[] after = cuts(all.loads(), RegionAssignment.MAX_UTILIZATION * 5);
            sums[3] += moved(before, after);
            sums[4] += moved(after, cuts(grown, RegionAssignment.MAX_UTILIZATION * 5));
            Region its = RegionAssignment.of(one).regionOf(seed % 24);
            sums[5] += its.load() - all.loads()[seed % 24] + grown[seed % 24] > RegionAssignment.MAX_UTILIZATION * 5
                    ? 1
                    : 0;
        }
        return Arrays.stream(sums).map(sum -> sum / shapes).toArray();
    }

    /** The same count for plain slots. */
    private static int moved(int[] before, int[] after) {
        int[][] shared = new int[before.length][before.length];
        for (int i = 0; i < before.length; i++) {
            shared[before[i]][after[i]]++;
        }
        int stayed = 0;
        while (true) {
            int best = 0;
            int one = 0;
            int two = 0;
            for (int i = 0; i < shared.length; i++) {
                for (int j = 0; j < shared.length; j++) {
                    if (shared[i][j] > best) {
                        best = shared[i][j];
                        one = i;
                        two = j;
                    }
                }
            }
            if (best == 0) {
                return before.length - stayed;
            }
            stayed += best;
            Arrays.fill(shared[one], 0);
            for (int[] row : shared) {
                row[two] = 0;
            }
        }
    }

    @Test
    void fewMove() {
        double[] moves = moves(100);
        System.out.println("moves of 24 branches: " + Arrays.toString(moves));
        assertEquals(0, moves[1], "a parent that nobody needs moves nobody");
        assertTrue(moves[0] < moves[4] && moves[2] < moves[3], "fewer than contiguous cuts");
    }
}
