package magpiewheel.region;

/**
 * What a front is told of regions at its start: its number and branch, how many fronts the settings name and the hub,
 * both by branch, the load of branches to go by until it was measured, how parents start, what the origin bears of
 * fetches' work a second from all fronts, and the Unix millisecond of this process's start.
 */
public record RegionConfig(
        int routerId,
        int zone,
        int[] routersByZone,
        int[] hubByZone,
        double[] assumedLoads,
        SlowStartProfile slowStart,
        double originWorkPerS,
        long startedMs) {}
