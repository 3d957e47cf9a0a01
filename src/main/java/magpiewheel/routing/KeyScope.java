package magpiewheel.routing;

/**
 * The endpoints that may be sent a further attempt of a keyed request: those that share the idempotency keys of the
 * endpoint where an earlier attempt may have run, as it was listed when that attempt began.
 */
final class KeyScope {
    /** Every endpoint: no attempt may have run, or all endpoints share their keys. */
    static final KeyScope UNLIMITED = new KeyScope(IdempotencyKeyScope.ALL, null);
    /** The cell of an endpoint that belongs to none. */
    private static final int NO_CELL = 0;

    private final IdempotencyKeyScope sharedWithin;
    private final EndpointInfo keyOwner;

    private KeyScope(IdempotencyKeyScope sharedWithin, EndpointInfo keyOwner) {
        this.sharedWithin = sharedWithin;
        this.keyOwner = keyOwner;
    }

    /** Returns the endpoints that share keys with the target of an attempt. */
    static KeyScope of(RequestClass requestClass, Attempt mayHaveRun) {
        return requestClass.keyScope() == IdempotencyKeyScope.ALL
                ? UNLIMITED
                : new KeyScope(requestClass.keyScope(), mayHaveRun.targetInfo);
    }

    /** Whether an endpoint recognises the key of a request that the key's owner executed. */
    boolean contains(Endpoint endpoint) {
        return switch (sharedWithin) {
            case ALL -> true;
            case ZONE -> keyOwner.zone() == endpoint.info.zone();
            case CELL ->
                keyOwner.id() == endpoint.id || keyOwner.cell() != NO_CELL && keyOwner.cell() == endpoint.info.cell();
        };
    }
}
