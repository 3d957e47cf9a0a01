package magpiewheel.routing;

/** What discovery says of an endpoint. */
public enum EndpointState {
    REMOVED,
    READY,
    DRAINING
}
