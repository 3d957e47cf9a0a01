package magpiewheel.routing;

/** How an attempt or a probe ended; {@code CORRUPT}: a good answer was marred on its way, as any node's may be. */
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

    /** Whether this outcome proves that the request did not run. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
