package magpiewheel.region;

/**
 * A parent cache as the list has it. {@code linkCapacity} is what its link carries, in the unit in which the load of
 * branches is measured; {@code transferCapacity} its transfers at once when warm; {@code startedUs} when it started, 0
 * where that is not told.
 */
public record Parent(
        long id, int hub, double linkCapacity, double transferCapacity, long startedUs, boolean draining) {}
