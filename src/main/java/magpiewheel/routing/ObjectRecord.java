package magpiewheel.routing;

/** What is known of an object: a hint to its holder, and how it was used. */
final class ObjectRecord {
    Endpoint holder;
    long holderSeenAt;
    int requests;
    int group;
    int highestPartRequested = -1;
    int highestPartCached = -1;

    /** It was asked for: once more where its parts begin anew. */
    void requested(RoutingRequest request) {
        group = request.group();
        if (request.part() <= highestPartRequested || requests == 0) {
            requests++;
        }
        highestPartRequested = Math.max(highestPartRequested, request.part());
    }

    /** An answer said that a node holds a part now. */
    void cached(Endpoint node, long now, int part) {
        highestPartCached = Math.max(holder == node ? highestPartCached : -1, part);
        holder = node;
        holderSeenAt = now;
    }

    /** A peer said so; the newer word counts. */
    void reportedByPeer(Endpoint node, long at, int of) {
        group = of;
        if (at > holderSeenAt) {
            holder = node;
            holderSeenAt = at;
        }
    }
}
