package magpiewheel.region;

import java.util.List;

/** Branches whose misses meet at one parent. */
public record Region(int hub, List<Integer> zones, double load) {
    /** The region's name between fronts: the same branches have the same, however they came together. */
    public int key() {
        long sum = DeterministicHash.of(hub);
        for (int branch : zones) {
            sum = DeterministicHash.of(sum, branch);
        }
        return (int) sum;
    }

    /** Fronts that the settings name in it. */
    int routers(int[] frontsByBranch) {
        return zones.stream()
                .mapToInt(b -> b < frontsByBranch.length ? frontsByBranch[b] : 0)
                .sum();
    }
}
