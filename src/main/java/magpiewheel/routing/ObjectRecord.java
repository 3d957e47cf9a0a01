package magpiewheel.routing;

/** Records the cache that probably holds an object, and which parts of the object were requested. */
final class ObjectRecord {
    Endpoint holder;
    long holderSeenAt;
    int requests;
    int group;
    int highestPartRequested = -1;
    int highestPartCached = -1;

    /** Records a request; requests for ascending parts of the object count as one. */
    void requested(RoutingRequest request) {
        group = request.group();
        if (request.part() <= highestPartRequested || requests == 0) {
            requests++;
        }
        highestPartRequested = Math.max(highestPartRequested, request.part());
    }

    /** Records a response that proves that a cache holds a part now. */
    void cached(Endpoint cache, long now, int part) {
        highestPartCached = Math.max(holder == cache ? highestPartCached : -1, part);
        holder = cache;
        holderSeenAt = now;
    }

    /** Records a peer's report that a cache held the object at {@code reportedAt}; the newest report counts. */
    void reportedByPeer(Endpoint cache, long reportedAt, int objectGroup) {
        group = objectGroup;
        if (reportedAt > holderSeenAt) {
            holder = cache;
            holderSeenAt = reportedAt;
        }
    }
}
