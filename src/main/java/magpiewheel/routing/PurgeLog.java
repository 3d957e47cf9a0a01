package magpiewheel.routing;

/** Records the newest purge of each object and group, and derives age limits of copies from them. */
final class PurgeLog {
    /**
     * Maximum number of purges remembered of objects, and of groups: far more than arrive within the time in which they
     * matter.
     */
    static final int MAX_PURGES = 20_000;
    /** Margin for rounding, in microseconds, subtracted from each age limit. */
    private static final long MARGIN_US = 1_000;

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

    /**
     * Returns the maximum age of an acceptable copy, in microseconds. 0 stands for the class's own fresh time, so a
     * limit is at least 1.
     *
     * @param relevantUs how long after a purge a cache may still return an older copy
     */
    long ageLimit(long now, InFlightRequest request, long relevantUs) {
        long purge = lastPurge(request.request.objectId(), request.request.group());
        if (purge == Long.MIN_VALUE || now - purge > relevantUs) {
            return 0;
        }
        long limit = Math.max(1, now - purge - MARGIN_US);
        long freshUs = request.requestClass.freshUs();
        return freshUs > 0 ? Math.min(limit, freshUs) : limit;
    }
}
