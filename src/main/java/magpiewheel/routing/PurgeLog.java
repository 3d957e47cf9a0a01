package magpiewheel.routing;

/** The newest purge of each object and group. */
final class PurgeLog {
    private final LruMap<Long> objects;
    private final LruMap<Long> groups;

    PurgeLog(int most) {
        objects = new LruMap<>(most);
        groups = new LruMap<>(most);
    }

    void add(long at, Purge purge) {
        if (purge.objectId() == 0) {
            groups.merge((long) purge.group(), at, Math::max);
        } else {
            objects.merge(purge.objectId(), at, Math::max);
        }
    }

    long lastGroupPurge(int group) {
        return groups.getOrDefault((long) group, Long.MIN_VALUE);
    }

    long lastPurge(long object, int group) {
        return Math.max(objects.getOrDefault(object, Long.MIN_VALUE), lastGroupPurge(group));
    }
}
