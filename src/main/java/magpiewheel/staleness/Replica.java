package magpiewheel.staleness;

/**
 * A cache of the zone as discovery lists it.
 *
 * @param weight its weight in the distribution of the zone's requests
 * @param startedUs when it started; 0 if it has been running for long
 */
public record Replica(long id, boolean draining, double weight, long startedUs) {}
