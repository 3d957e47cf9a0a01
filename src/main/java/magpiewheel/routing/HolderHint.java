package magpiewheel.routing;

/** A cache holds a part of an object, or was sent a fill of it, as seen {@code ageMs} before the message was sent. */
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
