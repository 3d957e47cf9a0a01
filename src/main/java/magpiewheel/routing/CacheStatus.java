package magpiewheel.routing;

/** What a cache says of how it answered; {@code UNKNOWN} where it says nothing. */
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

    /** Whether it was served from a copy that was there. */
    boolean isHit() {
        return this == HIT || this == STALE;
    }
}
