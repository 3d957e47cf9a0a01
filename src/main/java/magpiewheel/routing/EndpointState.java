package magpiewheel.routing;

/** What discovery says of a node. */
public enum EndpointState {
    REMOVED,
    READY,
    DRAINING
}
