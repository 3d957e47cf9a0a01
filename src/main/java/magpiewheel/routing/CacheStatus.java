package magpiewheel.routing;

/** How a cache handled an attempt, as its response says; {@code UNKNOWN} where it does not say. */
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

    /** Whether the response came from a copy that the cache held. */
    boolean isHit() {
        return this == HIT || this == STALE;
    }

    /** Whether the response came from a fill of its own, from a parent or the origin. */
    public boolean isFilled() {
        return this == FILLED || this == FILLED_BY_ORIGIN;
    }
}
