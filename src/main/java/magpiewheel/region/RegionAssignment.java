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

    private final List<Region> regions;
    private final int[] regionIndexByZone;
    private final int[] slots;

    private RegionAssignment(List<Region> regions, int[] slots) {
        int zones = slots.length;
        this.slots = slots;
        this.regions = List.copyOf(regions);
        this.regionIndexByZone = new int[zones];
        Arrays.fill(regionIndexByZone, -1);
        for (int i = 0; i < regions.size(); i++) {
            for (int zone : regions.get(i).zones()) {
                regionIndexByZone[zone] = i;
            }
        }
    }

    /** The regions of a topology. */
    public static RegionAssignment of(RegionTopology topology) {
        List<Region> regions = new ArrayList<>();
        int[] hubs = topology.hubByZone();
        int[] slots = new int[hubs.length];
        Arrays.fill(slots, -1);
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
                    .filter(zone -> hubs[zone] == hub)
                    .boxed()
                    .sorted(Comparator.comparingLong((Integer zone) -> DeterministicHash.of(zone))
                            .thenComparing(zone -> zone))
                    .toList();
            regions.addAll(regionsOfHub(hub, zones, topology, linkCapacities, slots));
        }
        return new RegionAssignment(regions, slots);
    }

    private static List<Region> regionsOfHub(
            int hub, List<Integer> zones, RegionTopology topology, double[] linkCapacities, int[] slots) {
        double[] loads = topology.loads();
        double total = zones.stream().mapToDouble(zone -> loads[zone]).sum();
        int slotsInUse = Math.min(
                linkCapacities.length,
                1
                        + zones.stream()
                                .mapToInt(zone -> topology.homeSlots()[zone])
                                .max()
                                .orElse(-1));
        boolean canShrink = slotsInUse > 1
                && total <= SHRINK_UTILIZATION * MAX_UTILIZATION * linkCapacities[slotsInUse - 2] * (slotsInUse - 1);
        int[] best = new int[0];
        long mostAssigned = -1;
        for (int slotCount = canShrink ? 1 : Math.max(1, slotsInUse);
                slotCount <= linkCapacities.length && mostAssigned < zones.size();
                slotCount++) {
            int[] candidate = assign(zones, topology, slotCount, MAX_UTILIZATION * linkCapacities[slotCount - 1]);
            long assigned = IntStream.of(candidate).filter(s -> s >= 0).count();
            if (assigned > mostAssigned) {
                mostAssigned = assigned;
                best = candidate;
            }
        }
        List<Region> regions = new ArrayList<>();
        for (int slot = 0; slot < linkCapacities.length; slot++) {
            List<Integer> zonesInSlot = new ArrayList<>();
            for (int i = 0; i < best.length; i++) {
                if (best[i] == slot) {
                    slots[zones.get(i)] = slot;
                    zonesInSlot.add(zones.get(i));
                }
            }
            if (!zonesInSlot.isEmpty()) {
                regions.add(new Region(
                        hub,
                        zonesInSlot.stream().sorted().toList(),
                        zonesInSlot.stream().mapToDouble(zone -> loads[zone]).sum()));
            }
        }
        return regions;
    }

    /** By zone, in the given order, the slot it stays in, or gets by rendezvous hashing with bounded loads, or -1. */
    private static int[] assign(List<Integer> zones, RegionTopology topology, int slots, double capacity) {
        double[] loads = topology.loads();
        double[] slotLoads = new double[slots];
        int[] slotByIndex = new int[zones.size()];
        Arrays.fill(slotByIndex, -1);
        for (int slot = 0; slot < slots; slot++) {
            assignHomeZones(zones, topology, slot, capacity, slotLoads, slotByIndex);
        }
        for (int i = 0; i < slotByIndex.length; i++) {
            int zone = zones.get(i);
            long highestHash = 0;
            for (int slot = 0; slot < slots && (slotByIndex[i] < 0 || highestHash != 0); slot++) {
                long hash = DeterministicHash.of(zone, slot);
                if (slotLoads[slot] + loads[zone] <= capacity && (slotByIndex[i] < 0 || hash > highestHash)) {
                    slotByIndex[i] = slot;
                    highestHash = hash;
                }
            }
            if (slotByIndex[i] >= 0 && highestHash != 0) {
                slotLoads[slotByIndex[i]] += loads[zone];
            }
        }
        return slotByIndex;
    }

    /**
     * Zones stay in their home slot, but for the lightest one that frees enough capacity, or the heaviest ones until
     * there is enough.
     */
    private static void assignHomeZones(
            List<Integer> zones,
            RegionTopology topology,
            int slot,
            double capacity,
            double[] slotLoads,
            int[] slotByIndex) {
        double[] loads = topology.loads();
        List<Integer> atHome = IntStream.range(0, slotByIndex.length)
                .filter(i -> topology.homeSlots()[zones.get(i)] == slot)
                .boxed()
                .sorted(Comparator.comparingDouble((Integer i) -> loads[zones.get(i)]))
                .collect(Collectors.toList());
        double sum = atHome.stream().mapToDouble(i -> loads[zones.get(i)]).sum();
        while (sum > capacity) {
            double excess = sum - capacity;
            int displaced = atHome.stream()
                    .filter(i -> loads[zones.get(i)] >= excess)
                    .findFirst()
                    .orElse(atHome.get(atHome.size() - 1));
            atHome.remove((Integer) displaced);
            sum = atHome.stream().mapToDouble(i -> loads[zones.get(i)]).sum();
        }
        atHome.forEach(i -> slotByIndex[i] = slot);
        slotLoads[slot] = sum;
    }

    /** The slot of a zone on its hub, its home from now on; -1 for none. */
    int slot(int zone) {
        return slots[zone];
    }

    /** All regions, by hub. */
    public List<Region> regions() {
        return regions;
    }

    /** The region of a zone, or null. */
    public Region regionOf(int zone) {
        return zone < 0 || zone >= regionIndexByZone.length || regionIndexByZone[zone] < 0
                ? null
                : regions.get(regionIndexByZone[zone]);
    }

    /**
     * How many zones migrated: each new region is matched with the old one that it shares most zones with, one with
     * one; zones that were in none, or are in none now, do not count.
     */
    public static int migratedZones(RegionAssignment before, RegionAssignment after) {
        int unmigrated = 0;
        int inBoth = 0;
        List<int[]> pairs = new ArrayList<>();
        for (int i = 0; i < before.regions.size(); i++) {
            for (int j = 0; j < after.regions.size(); j++) {
                List<Integer> shared = new ArrayList<>(before.regions.get(i).zones());
                shared.retainAll(after.regions.get(j).zones());
                inBoth += shared.size();
                pairs.add(new int[] {shared.size(), i, j});
            }
        }
        pairs.sort(Comparator.comparingInt(p -> -p[0]));
        List<Integer> matchedBefore = new ArrayList<>();
        List<Integer> matchedAfter = new ArrayList<>();
        for (int[] pair : pairs) {
            if (!matchedBefore.contains(pair[1]) && !matchedAfter.contains(pair[2])) {
                matchedBefore.add(pair[1]);
                matchedAfter.add(pair[2]);
                unmigrated += pair[0];
            }
        }
        return inBoth - unmigrated;
    }
}
