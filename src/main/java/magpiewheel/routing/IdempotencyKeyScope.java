package magpiewheel.routing;

/** The nodes that together drop the repeats of a keyed request. */
public enum IdempotencyKeyScope {
    ALL,
    ZONE,
    CELL
}
