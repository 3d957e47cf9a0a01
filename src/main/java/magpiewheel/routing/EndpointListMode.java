package magpiewheel.routing;

/** How a list of nodes relates to the one before it. */
public enum EndpointListMode {
    DELTA,
    FULL,
    CACHED,
    FAILED
}
