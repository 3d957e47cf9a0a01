package magpiewheel.routing;

/** What a routing policy can ask of its caller. Attempts of a request are numbered from 0 in their order. */
public interface RoutingActions {

    /** Start an attempt at an endpoint. */
    void startAttempt(long requestId, long endpointId, AttemptPlan plan);

    /** Cancel an attempt; it ends all the same, with an outcome. */
    void cancelAttempt(long requestId, int attempt);

    /** Final answer: the router's own copy. */
    default void serveLocalCopy(long requestId) {
        throw new UnsupportedOperationException("request " + requestId + " came without a copy");
    }

    /**
     * Final answer: rejected, and a retry does no harm.
     *
     * @param retryAfterUs how long the client is advised to wait; 0 for no advice
     */
    void reject(long requestId, long retryAfterUs);

    /** Final answer: failed, with no promise about its effects. */
    void fail(long requestId);

    /** Call {@link RoutingPolicy#timerExpired} at a time. */
    void setTimer(long atUs, long handle);

    /** Check the health of an endpoint. */
    void checkHealth(long endpointId);

    /** Send a datagram of at most 256 bytes to another router. */
    void sendToPeer(int router, byte[] message);

    /** Probe whether anybody listens at another router's address; where that can't be told, nothing happens. */
    default void probeReachability(int router, long at) {}

    /** Subscribe to changes of discovery's list, or unsubscribe. */
    void subscribe(boolean on);

    /** Ask discovery once for the complete list. */
    void fetchEndpointList();

    /** Write a line to the operators' log. */
    void log(String line);
}
