package magpiewheel.routing;

/**
 * The endpoints that may be sent a further attempt of a keyed request: those that share the idempotency keys of the
 * endpoint where an earlier attempt may have run, as it was listed when that attempt began.
 */
final class KeyScope {
    /** Every endpoint: no attempt may have run, or all endpoints share their keys. */
    static final KeyScope UNLIMITED = new KeyScope(IdempotencyKeyScope.ALL, null);
    /** No endpoint: it is not known which process may have executed the request. */
    private static final KeyScope UNKNOWN = new KeyScope(null, null);
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
        if (requestClass.keyScope() == IdempotencyKeyScope.ALL) {
            return UNLIMITED;
        }
        return mayHaveRun.isServerProven() ? new KeyScope(requestClass.keyScope(), mayHaveRun.targetInfo) : UNKNOWN;
    }

    /**
     * Whether it matters which process an attempt reaches: it may be written only to one that is proven to be the
     * listed endpoint.
     */
    boolean requiresProvenServer() {
        return this != UNLIMITED;
    }

    /** Whether an endpoint recognises the key of a request that the key's owner executed. */
    boolean contains(Endpoint endpoint) {
        if (this == UNKNOWN) {
            return false;
        }
        return switch (sharedWithin) {
            case ALL -> true;
            case ZONE -> keyOwner.zone() == endpoint.info.zone();
            case CELL ->
                isSameProcess(endpoint.info) || keyOwner.cell() != NO_CELL && keyOwner.cell() == endpoint.info.cell();
        };
    }

    /** Whether the endpoint has not been restarted under its identifier. */
    private boolean isSameProcess(EndpointInfo endpoint) {
        return keyOwner.id() == endpoint.id() && keyOwner.startedUs() == endpoint.startedUs();
    }
}
