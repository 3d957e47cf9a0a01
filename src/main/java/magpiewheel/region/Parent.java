package magpiewheel.region;

/**
 * A parent cache in discovery's list.
 *
 * @param linkCapacity the capacity of its link, in the unit in which the load of zones is measured
 * @param transferCapacity the number of its concurrent transfers when warm
 * @param startedUs when it started; 0 if unknown
 */
public record Parent(
        long id, int hub, double linkCapacity, double transferCapacity, long startedUs, boolean draining) {}
