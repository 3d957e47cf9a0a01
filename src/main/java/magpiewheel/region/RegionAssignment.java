package magpiewheel.region;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Assigns zones to regions, as a function of a {@link RegionTopology} that all routers compute alike. A hub has as few
 * slots as the links of its parents allow; it has no fewer than before while those are well used. A zone stays in its
 * home slot while that has capacity. Other zones go to the first slot with capacity in their own order of slots. Zones
 * that fit into no slot are in no region.
 */
public final class RegionAssignment {
    /**
     * Share of a parent's link that the measured load of a region may use; the rest is reserved for load that was not
     * measured.
     */
    public static final double MAX_UTILIZATION = 0.8;
    /** A slot is removed if the others would be used to at most this share of their capacity. */
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

    /** Computes the regions of a topology. */
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
            // Zones choose in an order independent of loads: otherwise a small change of one load would migrate many.
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

    /**
     * Returns for each zone, in the given order, the slot that it stays in or gets by rendezvous hashing with bounded
     * loads, or -1.
     */
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
     * Keeps zones in their home slot. If their load exceeds the capacity, this displaces the lightest zone that frees
     * enough, or else the heaviest zones until the rest fits.
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

    /** Returns the slot of a zone on its hub, which becomes its home slot; -1 if there is none. */
    int slot(int zone) {
        return slots[zone];
    }

    /** Returns all regions, ordered by hub. */
    public List<Region> regions() {
        return regions;
    }

    /** Returns the region of a zone, or null. */
    public Region regionOf(int zone) {
        return zone < 0 || zone >= regionIndexByZone.length || regionIndexByZone[zone] < 0
                ? null
                : regions.get(regionIndexByZone[zone]);
    }

    /**
     * Returns how many zones migrated. Each new region is matched one to one with the old region that it shares most
     * zones with. Zones that were in no region before, or are in none after, do not count.
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
