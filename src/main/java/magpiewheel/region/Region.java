package magpiewheel.region;

import java.util.List;

/** Zones whose misses meet at one parent. */
public record Region(int hub, List<Integer> zones, double load) {
    /** The key of the region between routers: the same zones have the same key, however they came together. */
    public int key() {
        long sum = DeterministicHash.of(hub);
        for (int zone : zones) {
            sum = DeterministicHash.of(sum, zone);
        }
        return (int) sum;
    }

    /** How many routers the settings name in it. */
    int routers(int[] routersByZone) {
        return zones.stream()
                .mapToInt(zone -> zone < routersByZone.length ? routersByZone[zone] : 0)
                .sum();
    }
}
