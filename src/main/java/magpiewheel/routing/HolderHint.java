package magpiewheel.routing;

/**
 * A hint that a cache holds a part of an object, or started a fill of it, observed {@code ageMs} before the message was
 * sent.
 */
record HolderHint(long objectId, int part, long endpointId, int group, int ageMs) {
    private static final long US_PER_MS = 1_000;

    /** Returns a hint for the requested part. */
    static HolderHint of(RoutingRequest request, long endpointId, int ageMs) {
        return new HolderHint(request.objectId(), request.part(), endpointId, request.group(), ageMs);
    }

    /** Returns the age in microseconds. */
    long ageUs() {
        return ageMs * US_PER_MS;
    }
}
