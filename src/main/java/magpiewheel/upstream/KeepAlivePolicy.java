package magpiewheel.upstream;

/**
 * For how long an unused connection to a node is kept: a handshake costs the fleet, an open connection only this front.
 *
 * @param idleCloseUs after so long nodes close an unused connection themselves; 0 where that is not told
 * @param maxConnections connections to all nodes together
 */
record KeepAlivePolicy(long idleCloseUs, int maxConnections) {
    /** ns; where the nodes' own time is not told, or connections run short. */
    private static final long SHORT_IDLE_TIMEOUT_NS = 1_500_000_000L;

    /** Half of the nodes' own time, so that none is written to while its node closes it, as long as half are free. */
    long idleTimeoutNs(int freeConnections) {
        long half = idleCloseUs > 0 ? idleCloseUs * 1_000 / 2 : SHORT_IDLE_TIMEOUT_NS;
        return 2 * freeConnections < maxConnections ? Math.min(SHORT_IDLE_TIMEOUT_NS, half) : half;
    }
}
