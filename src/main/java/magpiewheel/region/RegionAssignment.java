package magpiewheel.region;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Which zones meet in which region: an agreed function of a {@link RegionTopology}. A hub has as few slots as its
 * parents' links allow, and no fewer than there were while those are used well. A zone stays in its home slot while
 * that has capacity; others go to the first slot in their own order that has. Zones that fit nowhere are in no region.
 */
public final class RegionAssignment {
    /** The part of a parent's link that a region may use as measured: the rest is for what was not measured. */
    public static final double MAX_UTILIZATION = 0.8;
    /** A slot is given up when the others would be used to this part of their capacity at most. */
    private static final double SHRINK_UTILIZATION = 0.7;

    private final List<Region> all;
    private final int[] regionOf;
    private final int[] slots;

    private RegionAssignment(List<Region> all, int[] places) {
        int zones = places.length;
        this.slots = places;
        this.all = List.copyOf(all);
        this.regionOf = new int[zones];
        Arrays.fill(regionOf, -1);
        for (int i = 0; i < all.size(); i++) {
            for (int zone : all.get(i).zones()) {
                regionOf[zone] = i;
            }
        }
    }

    /** The regions of a topology. */
    public static RegionAssignment of(RegionTopology topology) {
        List<Region> all = new ArrayList<>();
        int[] hubs = topology.hubByZone();
        int[] places = new int[hubs.length];
        Arrays.fill(places, -1);
        for (int hub : IntStream.of(hubs).distinct().sorted().toArray()) {
            double[] linkCapacities = topology.parents().stream()
                    .filter(p -> p.hub() == hub)
                    .mapToDouble(Parent::linkCapacity)
                    .map(c -> -c)
                    .sorted()
                    .map(c -> -c)
                    .toArray();
            // The order in which zones choose is independent of loads: else a little more of one would migrate many.
            List<Integer> zones = IntStream.range(0, hubs.length)
                    .filter(b -> hubs[b] == hub)
                    .boxed()
                    .sorted(Comparator.comparingLong((Integer b) -> DeterministicHash.of(b))
                            .thenComparing(b -> b))
                    .toList();
            all.addAll(ofHub(hub, zones, topology, linkCapacities, places));
        }
        return new RegionAssignment(all, places);
    }

    private static List<Region> ofHub(
            int hub, List<Integer> zones, RegionTopology topology, double[] linkCapacities, int[] places) {
        double[] loads = topology.loads();
        double total = zones.stream().mapToDouble(b -> loads[b]).sum();
        int had = Math.min(
                linkCapacities.length,
                1 + zones.stream().mapToInt(b -> topology.homeSlots()[b]).max().orElse(-1));
        boolean fewer = had > 1 && total <= SHRINK_UTILIZATION * MAX_UTILIZATION * linkCapacities[had - 2] * (had - 1);
        int[] best = new int[0];
        long placed = -1;
        for (int count = fewer ? 1 : Math.max(1, had);
                count <= linkCapacities.length && placed < zones.size();
                count++) {
            int[] slots = assign(zones, topology, count, MAX_UTILIZATION * linkCapacities[count - 1]);
            long fit = IntStream.of(slots).filter(s -> s >= 0).count();
            if (fit > placed) {
                placed = fit;
                best = slots;
            }
        }
        List<Region> regions = new ArrayList<>();
        for (int slot = 0; slot < linkCapacities.length; slot++) {
            List<Integer> mine = new ArrayList<>();
            for (int i = 0; i < best.length; i++) {
                if (best[i] == slot) {
                    places[zones.get(i)] = slot;
                    mine.add(zones.get(i));
                }
            }
            if (!mine.isEmpty()) {
                regions.add(new Region(
                        hub,
                        mine.stream().sorted().toList(),
                        mine.stream().mapToDouble(b -> loads[b]).sum()));
            }
        }
        return regions;
    }

    /** By zone, in the given order, the slot it stays in, or gets by rendezvous hashing with bounded loads, or -1. */
    private static int[] assign(List<Integer> zones, RegionTopology topology, int slots, double capacity) {
        double[] loads = topology.loads();
        double[] taken = new double[slots];
        int[] found = new int[zones.size()];
        Arrays.fill(found, -1);
        for (int slot = 0; slot < slots; slot++) {
            keepAtHome(zones, topology, slot, capacity, taken, found);
        }
        for (int i = 0; i < found.length; i++) {
            int zone = zones.get(i);
            long first = 0;
            for (int slot = 0; slot < slots && (found[i] < 0 || first != 0); slot++) {
                long draw = DeterministicHash.of(zone, slot);
                if (taken[slot] + loads[zone] <= capacity && (found[i] < 0 || draw > first)) {
                    found[i] = slot;
                    first = draw;
                }
            }
            if (found[i] >= 0 && first != 0) {
                taken[found[i]] += loads[zone];
            }
        }
        return found;
    }

    /**
     * Zones stay in their home slot, but for the lightest one that frees enough capacity, or the heaviest ones until
     * there is enough.
     */
    private static void keepAtHome(
            List<Integer> zones, RegionTopology topology, int slot, double capacity, double[] taken, int[] found) {
        double[] loads = topology.loads();
        List<Integer> atHome = IntStream.range(0, found.length)
                .filter(i -> topology.homeSlots()[zones.get(i)] == slot)
                .boxed()
                .sorted(Comparator.comparingDouble((Integer i) -> loads[zones.get(i)]))
                .collect(Collectors.toList());
        double sum = atHome.stream().mapToDouble(i -> loads[zones.get(i)]).sum();
        while (sum > capacity) {
            double over = sum - capacity;
            int displaced = atHome.stream()
                    .filter(i -> loads[zones.get(i)] >= over)
                    .findFirst()
                    .orElse(atHome.get(atHome.size() - 1));
            atHome.remove((Integer) displaced);
            sum = atHome.stream().mapToDouble(i -> loads[zones.get(i)]).sum();
        }
        atHome.forEach(i -> found[i] = slot);
        taken[slot] = sum;
    }

    /** The slot of a zone on its hub, its home from now on; -1 for none. */
    int slot(int zone) {
        return slots[zone];
    }

    /** All regions, by hub. */
    public List<Region> all() {
        return all;
    }

    /** The region of a zone, or null. */
    public Region of(int zone) {
        return zone < 0 || zone >= regionOf.length || regionOf[zone] < 0 ? null : all.get(regionOf[zone]);
    }

    /**
     * How many zones migrated: each new region is matched with the old one that it shares most zones with, one with
     * one; zones that were in none, or are in none now, do not count.
     */
    public static int migratedZones(RegionAssignment before, RegionAssignment after) {
        int stayed = 0;
        int both = 0;
        List<int[]> pairs = new ArrayList<>();
        for (int i = 0; i < before.all.size(); i++) {
            for (int j = 0; j < after.all.size(); j++) {
                List<Integer> shared = new ArrayList<>(before.all.get(i).zones());
                shared.retainAll(after.all.get(j).zones());
                both += shared.size();
                pairs.add(new int[] {shared.size(), i, j});
            }
        }
        pairs.sort(Comparator.comparingInt(p -> -p[0]));
        List<Integer> one = new ArrayList<>();
        List<Integer> two = new ArrayList<>();
        for (int[] pair : pairs) {
            if (!one.contains(pair[1]) && !two.contains(pair[2])) {
                one.add(pair[1]);
                two.add(pair[2]);
                stayed += pair[0];
            }
        }
        return both - stayed;
    }
}
