package magpiewheel.staleness;

/**
 * A cache of the zone as discovery lists it.
 *
 * @param weight its share of the zone's requests
 * @param startedUs when it started; 0 for one that has run for long
 */
public record Replica(long id, boolean draining, double weight, long startedUs) {}
