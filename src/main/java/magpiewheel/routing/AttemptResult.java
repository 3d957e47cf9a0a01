package magpiewheel.routing;

/** How an attempt or a health check ended; {@code CORRUPT} is a good response that was damaged on its way. */
public enum AttemptResult {
    OK(false),
    ERROR(false),
    REJECTED(true),
    TIMEOUT(false),
    UNREACHABLE(true),
    CONNECTION_LOST(false),
    CANCELLED(false),
    EXPIRED(true),
    MISS(true),
    CORRUPT(false);

    /** Whether this result proves that the request did not run. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
