package magpiewheel.routing;

/** The newest purge of each object and group, and the age limits that follow from them. */
final class PurgeLog {
    /** Purges remembered of objects, and of groups: far more than come within the time in which they matter. */
    static final int MAX_PURGES = 20_000;
    /** us; taken off each age limit against rounding. */
    private static final long MARGIN_US = 1_000;

    private final LruMap<Long> objects = new LruMap<>(MAX_PURGES);
    private final LruMap<Long> groups = new LruMap<>(MAX_PURGES);

    /** A purge was made at a time. */
    void add(long purgedAt, Purge purge) {
        if (purge.objectId() == 0) {
            groups.merge((long) purge.group(), purgedAt, Math::max);
        } else {
            objects.merge(purge.objectId(), purgedAt, Math::max);
        }
    }

    /** When a group was purged last; {@link Long#MIN_VALUE} where it never was. */
    long lastGroupPurge(int group) {
        return groups.getOrDefault((long) group, Long.MIN_VALUE);
    }

    /** When an object or its group was purged last; {@link Long#MIN_VALUE} where neither was. */
    long lastPurge(long objectId, int group) {
        return Math.max(objects.getOrDefault(objectId, Long.MIN_VALUE), lastGroupPurge(group));
    }

    /**
     * The age of the oldest acceptable copy, us; 0 stands for the class's own fresh time, so a limit is never below 1.
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
