package magpiewheel.region;

import java.util.List;

/** Branches whose misses meet at one parent. */
public record Region(int hub, List<Integer> zones, double load) {
    /** The region's name between fronts: the same branches have the same, however they came together. */
    public int key() {
        long sum = DeterministicHash.of(hub);
        for (int zone : zones) {
            sum = DeterministicHash.of(sum, zone);
        }
        return (int) sum;
    }

    /** Fronts that the settings name in it. */
    int routers(int[] routersByZone) {
        return zones.stream()
                .mapToInt(b -> b < routersByZone.length ? routersByZone[b] : 0)
                .sum();
    }
}
