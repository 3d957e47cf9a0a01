package magpiewheel.region;

/**
 * A parent cache of discovery's list.
 *
 * @param linkCapacity what its link carries, in the unit in which the load of zones is measured
 * @param transferCapacity its concurrent transfers when warm
 * @param startedUs when it started; 0 where that is unknown
 */
public record Parent(
        long id, int hub, double linkCapacity, double transferCapacity, long startedUs, boolean draining) {}
