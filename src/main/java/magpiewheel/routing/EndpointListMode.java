package magpiewheel.routing;

/**
 * How a list of endpoints relates to the previous one: a change to it, a complete list that replaces it, the complete
 * list with which a router starts, or none, since discovery failed.
 */
public enum EndpointListMode {
    DELTA,
    FULL,
    CACHED,
    FAILED
}
