package magpiewheel.routing;

/** The state of an endpoint in the list from discovery. */
public enum EndpointState {
    REMOVED,
    READY,
    DRAINING
}
