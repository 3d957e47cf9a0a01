package magpiewheel.routing;

/** Remembers which cache probably holds an object: hints from responses and peer reports, which expire. */
final class HolderTable {
    /** Maximum number of objects remembered: a few minutes of a busy zone's objects, a few MB. */
    static final int MAX_OBJECTS = 20_000;
    /** Lifetime of a hint, in microseconds; a copy not requested for longer may have been evicted unnoticed. */
    static final long HINT_LIFETIME_US = 10_000_000;

    private final PurgeLog purges;
    private final LruMap<ObjectRecord> objects;

    /** Creates an empty table for at most {@code maxObjects} objects. */
    HolderTable(PurgeLog purges, int maxObjects) {
        this.purges = purges;
        objects = new LruMap<>(maxObjects);
    }

    /** Returns the record of an object, and creates it if there is none. */
    ObjectRecord record(long objectId) {
        return objects.computeIfAbsent(objectId, key -> new ObjectRecord());
    }

    /** Returns the cache that probably holds an object; null without a fresh hint. */
    Endpoint holder(long now, long objectId) {
        ObjectRecord object = objects.get(objectId);
        return object == null ? null : holder(now, object);
    }

    /**
     * Returns the cache that a record names; null if the hint expired, the cache drains or restarted since, or the
     * object's group was purged since.
     */
    Endpoint holder(long now, ObjectRecord object) {
        Endpoint holder = object.holder;
        if (holder == null || !holder.isReady() || object.holderSeenAt < holder.info.startedUs()) {
            return null;
        }
        boolean fresh = now - object.holderSeenAt < HINT_LIFETIME_US
                && object.holderSeenAt > purges.lastGroupPurge(object.group);
        return fresh ? holder : null;
    }

    /** Records a peer's report that a cache held an object at {@code reportedAt}. */
    void reportedByPeer(long reportedAt, Endpoint cache, HolderHint hint) {
        record(hint.objectId()).reportedByPeer(cache, reportedAt, hint.group());
    }

    /** Forgets an object that was purged. */
    void forget(long objectId) {
        objects.remove(objectId);
    }
}
