package magpiewheel.routing;

/** How a list of endpoints relates to the one before it. */
public enum EndpointListMode {
    DELTA,
    FULL,
    CACHED,
    FAILED
}
