package magpiewheel.resp;

/**
 * Counts the invalid requests of one client, and those over a limit: a client that repeats them at full speed takes
 * time from the others. Used by the connection's actor.
 */
final class ViolationLimit {
    /** Maximum number of violations from one client; then the connection is closed. */
    private static final int MAX_VIOLATIONS = 16;
    /** The same while requests are open; more than clients send in one burst, of which each request is answered. */
    private static final int MAX_VIOLATIONS_WITH_OPEN_REQUESTS = 32 * MAX_VIOLATIONS;

    private int violations;

    /** Counts a violation, and returns whether the connection is to be closed for it. */
    boolean exceededByNext(boolean requestsOpen) {
        violations++;
        return violations > (requestsOpen ? MAX_VIOLATIONS_WITH_OPEN_REQUESTS : MAX_VIOLATIONS);
    }
}
