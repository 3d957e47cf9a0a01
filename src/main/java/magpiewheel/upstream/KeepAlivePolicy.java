package magpiewheel.upstream;

/**
 * Decides how long an idle connection to an endpoint is kept open. A handshake costs the whole fleet, an open
 * connection only this router.
 *
 * @param idleCloseUs idle time in microseconds after which endpoints close a connection; 0 if unknown
 * @param maxConnections limit on open connections to all endpoints together
 */
record KeepAlivePolicy(long idleCloseUs, int maxConnections) {
    /** Idle timeout where the endpoints' own timeout is unknown or few connections are free. */
    private static final long SHORT_IDLE_TIMEOUT_NS = 1_500_000_000L;

    /**
     * Returns the idle timeout in nanoseconds: half of the endpoints' own timeout, so that no request is written to a
     * connection that its endpoint is closing; at most 1.5 s while fewer than half of all connections are free.
     */
    long idleTimeoutNs(int freeConnections) {
        long half = idleCloseUs > 0 ? idleCloseUs * 1_000 / 2 : SHORT_IDLE_TIMEOUT_NS;
        return 2 * freeConnections < maxConnections ? Math.min(SHORT_IDLE_TIMEOUT_NS, half) : half;
    }
}
