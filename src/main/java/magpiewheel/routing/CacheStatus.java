package magpiewheel.routing;

/** How a cache handled an attempt, as stated in its response; {@code UNKNOWN} where the response does not state it. */
public enum CacheStatus {
    UNKNOWN,
    HIT,
    FILLED,
    FILLED_BY_ORIGIN,
    COALESCED,
    STALE,
    SOURCE_REJECTED,
    SOURCE_UNREACHABLE,
    SOURCE_MISS,
    NO_CAPACITY,
    ORIGIN_FAILED;

    /** Whether the response came from a copy in the cache, fresh or stale. */
    boolean isHit() {
        return this == HIT || this == STALE;
    }

    /** Whether the response came from a fill that this attempt started, from a parent or the origin. */
    public boolean isFilled() {
        return this == FILLED || this == FILLED_BY_ORIGIN;
    }
}
