package magpiewheel.region;

/**
 * The configuration of a router's region coordination.
 *
 * @param routersByZone the number of routers in each zone according to the settings
 * @param hubByZone the hub that each zone is attached to
 * @param assumedLoads the load of each zone until it has been measured
 * @param slowStart the load that a parent tolerates after its start
 * @param originWorkPerS the work per second that the origin can carry for all routers together
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
