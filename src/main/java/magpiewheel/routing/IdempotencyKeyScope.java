package magpiewheel.routing;

/** Which endpoints together recognise the idempotency key of a request. */
public enum IdempotencyKeyScope {
    ALL,
    ZONE,
    CELL
}
