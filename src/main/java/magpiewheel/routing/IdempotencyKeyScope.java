package magpiewheel.routing;

/** Which endpoints share idempotency keys: all, those of one zone, or those of one cell. */
public enum IdempotencyKeyScope {
    ALL,
    ZONE,
    CELL
}
