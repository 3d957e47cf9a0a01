package magpiewheel.region;

/**
 * The configuration of a router's regions.
 *
 * @param routersByZone how many routers the settings name in each zone
 * @param hubByZone the hub that each zone is attached to
 * @param assumedLoads the load of each zone until it was measured
 * @param slowStart the load that a parent tolerates after its start
 * @param originWorkPerS the work a second that the origin carries of all routers
 * @param startedMs the Unix millisecond at which this process started
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
