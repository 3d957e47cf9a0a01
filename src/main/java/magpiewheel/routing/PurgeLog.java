package magpiewheel.routing;

/** Records the newest purge of each object and group. */
final class PurgeLog {
    /**
     * Maximum number of purges remembered of objects, and of groups: far more than arrive within the time in which they
     * matter.
     */
    static final int MAX_PURGES = 20_000;

    private final LruMap<Long> objects = new LruMap<>(MAX_PURGES);
    private final LruMap<Long> groups = new LruMap<>(MAX_PURGES);

    /** Records a purge made at {@code purgedAt}. */
    void add(long purgedAt, Purge purge) {
        if (purge.objectId() == 0) {
            groups.merge((long) purge.group(), purgedAt, Math::max);
        } else {
            objects.merge(purge.objectId(), purgedAt, Math::max);
        }
    }

    /** Returns when a group was last purged; {@link Long#MIN_VALUE} if it never was. */
    long lastGroupPurge(int group) {
        return groups.getOrDefault((long) group, Long.MIN_VALUE);
    }

    /** Returns when an object or its group was last purged; {@link Long#MIN_VALUE} if neither was. */
    long lastPurge(long objectId, int group) {
        return Math.max(objects.getOrDefault(objectId, Long.MIN_VALUE), lastGroupPurge(group));
    }
}
