package magpiewheel.routing;

/**
 * A cache was seen to hold a part of an object, or to be sent a fill of it, {@code ageMs} before the message went out.
 */
record HolderHint(long objectId, int part, long endpointId, int group, int ageMs) {
    /** Of the part that a request asks for. */
    static HolderHint of(RoutingRequest request, long node, int ageMs) {
        return new HolderHint(request.objectId(), request.part(), node, request.group(), ageMs);
    }
}
