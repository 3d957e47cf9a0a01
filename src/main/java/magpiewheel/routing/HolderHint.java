package magpiewheel.routing;

/**
 * A cache was seen to hold a part of an object, or to be sent a fill of it, {@code ageMs} before the message went out.
 */
record HolderHint(long objectId, int part, long endpointId, int group, int ageMs) {
    private static final long US_PER_MS = 1_000;

    /** Of the part that a request asks for. */
    static HolderHint of(RoutingRequest request, long endpointId, int ageMs) {
        return new HolderHint(request.objectId(), request.part(), endpointId, request.group(), ageMs);
    }

    /** Its age in microseconds. */
    long ageUs() {
        return ageMs * US_PER_MS;
    }
}
