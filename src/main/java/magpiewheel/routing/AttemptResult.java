package magpiewheel.routing;

/** The result of an attempt or a health check; {@code CORRUPT} is a successful response that was damaged in transit. */
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

    /** Whether this result proves that the endpoint did not execute the request. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
