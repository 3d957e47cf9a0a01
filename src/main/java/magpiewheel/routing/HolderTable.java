package magpiewheel.routing;

/** Which cache is thought to hold an object: hints that expire, from responses and from reports of peers. */
final class HolderTable {
    /** Objects remembered: some minutes of a busy zone's objects, a few MB. */
    private static final int MAX_OBJECTS = 20_000;
    /** us; how long a hint lasts. A copy that nobody requested for so long may have been dropped unseen. */
    static final long HINT_LIFETIME_US = 10_000_000;

    private final PurgeLog purges;
    private final LruMap<ObjectRecord> objects = new LruMap<>(MAX_OBJECTS);

    HolderTable(PurgeLog purges) {
        this.purges = purges;
    }

    /** The record of an object, a new one where there is none. */
    ObjectRecord record(long objectId) {
        return objects.computeIfAbsent(objectId, key -> new ObjectRecord());
    }

    /** The cache that is thought to hold an object; null where no hint is fresh. */
    Endpoint holder(long now, long objectId) {
        ObjectRecord object = objects.get(objectId);
        return object == null ? null : holder(now, object);
    }

    /** The cache that a record names, unless it drains, restarted, or its group was purged since; else null. */
    Endpoint holder(long now, ObjectRecord object) {
        Endpoint holder = object.holder;
        if (holder == null || !holder.isReady() || object.holderSeenAt < holder.info.startedUs()) {
            return null;
        }
        boolean fresh = now - object.holderSeenAt < HINT_LIFETIME_US
                && object.holderSeenAt > purges.lastGroupPurge(object.group);
        return fresh ? holder : null;
    }

    /** A peer reported at a time that a cache holds an object. */
    void reportedByPeer(long reportedAt, Endpoint cache, HolderHint hint) {
        record(hint.objectId()).reportedByPeer(cache, reportedAt, hint.group());
    }

    /** An object was purged. */
    void forget(long objectId) {
        objects.remove(objectId);
    }
}
