package magpiewheel.region;

import java.util.List;

/**
 * Zones whose misses are filled through one common parent.
 *
 * @param load the sum of the loads of the zones
 */
public record Region(int hub, List<Integer> zones, double load) {
    /**
     * Returns the key that identifies the region among routers: regions of the same hub and zones have the same key,
     * however they were formed.
     */
    public int key() {
        long sum = DeterministicHash.of(hub);
        for (int zone : zones) {
            sum = DeterministicHash.of(sum, zone);
        }
        return (int) sum;
    }

    /** Returns the number of routers of the region according to the settings. */
    int routers(int[] routersByZone) {
        return zones.stream()
                .mapToInt(zone -> zone < routersByZone.length ? routersByZone[zone] : 0)
                .sum();
    }
}
