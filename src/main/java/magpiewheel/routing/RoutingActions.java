package magpiewheel.routing;

/**
 * Actions that a routing policy requests of its caller. Attempts of a request are numbered from 0 in starting order.
 */
public interface RoutingActions {

    /** Starts an attempt at an endpoint. */
    void startAttempt(long requestId, long endpointId, AttemptPlan plan);

    /** Cancels an attempt; its outcome is still reported with {@link RoutingPolicy#attemptEnded}. */
    void cancelAttempt(long requestId, int attempt);

    /** Gives the final answer: the router's local copy. */
    default void serveLocalCopy(long requestId) {
        throw new UnsupportedOperationException("request " + requestId + " has no local copy");
    }

    /**
     * Gives the final answer: rejected, and a retry is safe.
     *
     * @param retryAfterUs how long the client is advised to wait, in microseconds; 0 for no advice
     */
    void reject(long requestId, long retryAfterUs);

    /** Gives the final answer: failed; the request may have had effects. */
    void fail(long requestId);

    /** Requests a call of {@link RoutingPolicy#timerExpired} at a time. */
    void setTimer(long atUs, long handle);

    /** Starts a health check of an endpoint. */
    void checkHealth(long endpointId);

    /** Sends a datagram of at most 256 bytes to another router. */
    void sendToPeer(int router, byte[] message);

    /** Probes whether a process listens at another router's address; does nothing where that can't be determined. */
    default void probeReachability(int router, long at) {}

    /** Subscribes to changes of discovery's endpoint list, or unsubscribes. */
    void subscribe(boolean on);

    /** Requests the complete endpoint list from discovery once. */
    void fetchEndpointList();

    /** Writes a line to the operators' log. */
    void log(String line);
}
