package magpiewheel.routing;

/** What is known of an object: the cache that is thought to hold it, and which of its parts were requested. */
final class ObjectRecord {
    Endpoint holder;
    long holderSeenAt;
    int requests;
    int group;
    int highestPartRequested = -1;
    int highestPartCached = -1;

    /** It was requested; a request of its parts from the first on counts once. */
    void requested(RoutingRequest request) {
        group = request.group();
        if (request.part() <= highestPartRequested || requests == 0) {
            requests++;
        }
        highestPartRequested = Math.max(highestPartRequested, request.part());
    }

    /** A response proved that a cache holds a part now. */
    void cached(Endpoint cache, long now, int part) {
        highestPartCached = Math.max(holder == cache ? highestPartCached : -1, part);
        holder = cache;
        holderSeenAt = now;
    }

    /** A peer reported at a time that a cache holds it; the newer report counts. */
    void reportedByPeer(Endpoint cache, long reportedAt, int objectGroup) {
        group = objectGroup;
        if (reportedAt > holderSeenAt) {
            holder = cache;
            holderSeenAt = reportedAt;
        }
    }
}
