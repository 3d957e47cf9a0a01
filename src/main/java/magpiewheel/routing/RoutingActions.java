package magpiewheel.routing;

/** What the module can ask of its router. Attempts of a request are numbered from 0 in their order. */
public interface RoutingActions {

    /** Send an attempt to a node. */
    void startAttempt(long request, long node, AttemptPlan plan);

    /** Stop waiting for an attempt. */
    void cancelAttempt(long request, int attempt);

    /** Final answer: the copy that the router holds itself. */
    default void serveLocalCopy(long request) {
        throw new UnsupportedOperationException("request " + request + " came without a copy");
    }

    /** Final answer: turned away, a retry does no harm; {@code backoffUs} 0 gives no advice. */
    void reject(long request, long backoffUs);

    /** Final answer: failed, with no promise. */
    void fail(long request);

    /** Ask for {@link RoutingPolicy#timerExpired} at a time. */
    void setTimer(long atUs, long handle);

    /** Check a node. */
    void checkHealth(long node);

    /** Send up to 256 bytes to one director. */
    void sendToPeer(int recipient, byte[] message);

    /** Ask the transport whether anybody listens at a director's address; where it can't tell, nothing comes of it. */
    default void probeReachability(int director, long at) {}

    /** Ask discovery for changes from now on, or no longer. */
    void subscribe(boolean on);

    /** Ask discovery once for the whole list. */
    void fetchEndpointList();

    /** A line for the operators' log. */
    void log(String line);
}
