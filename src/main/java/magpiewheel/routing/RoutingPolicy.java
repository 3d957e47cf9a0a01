package magpiewheel.routing;

import java.util.List;
import java.util.Map;
import magpiewheel.membership.MembershipView;

/**
 * The routing decisions, as events in and actions out. The caller calls one method for each event; the policy answers
 * through the {@link RoutingActions} that it was built with, during that call only.
 *
 * <p>Units: all times are microseconds unless a name says otherwise. {@code now} is the caller's clock, which starts
 * anywhere and never goes back; the policy has no other. Endpoints, requests and objects are opaque numbers chosen by
 * the caller.
 *
 * <p>Threading: one instance is used by one thread at a time, and is never called from inside one of its own actions,
 * but for {@link #evaluateDelivery}.
 *
 * <p>Errors: events about requests that are not in flight are ignored, since outcomes and timers may be late. A request
 * of an unknown class is an {@link IllegalArgumentException}.
 */
public interface RoutingPolicy {
    /** What {@link #selectCache} returns where no cache is usable. */
    long NO_CACHE = -1;

    /** Discovery sent a list or a change to it; with {@code FAILED} there are no endpoints in it. */
    void endpointsChanged(long now, EndpointListMode mode, List<EndpointInfo> endpoints);

    /**
     * A client's request arrived. It gets exactly one final answer, unless the client disconnects.
     *
     * @param localCopy the router's own copy of what is requested; null where it has none
     */
    void requestArrived(long now, RoutingRequest request, LocalCopy localCopy);

    /** Likewise, where the router has no copy. */
    default void requestArrived(long now, RoutingRequest request) {
        requestArrived(now, request, null);
    }

    /** A streaming response started: this attempt is the client's now, and nothing else may answer. */
    void streamStarted(long now, long requestId, int attempt);

    /** Whether a response may be delivered; asked for every response. See {@link BoundedReads#evaluateDelivery}. */
    default DeliveryDecision evaluateDelivery(long now, long requestId, long originTimeMs) {
        return boundedReads().evaluateDelivery(now, requestId, originTimeMs);
    }

    /** An attempt ended. */
    void attemptEnded(long now, AttemptOutcome outcome);

    /** The client disconnected; no answer is due. */
    void clientDisconnected(long now, long requestId);

    /** A purge was made at the origin. */
    void objectsPurged(long now, Purge purge);

    /** A timer set with {@link RoutingActions#setTimer} expired. */
    void timerExpired(long now, long handle);

    /** A health check ended; a policy that requests none ignores it. */
    default void healthCheckEnded(long now, HealthCheckResult result) {}

    /** A message from another router; it may contain anything. */
    void peerMessageReceived(long now, long sender, byte[] message);

    /** Whether this router serves from now on, or drains. */
    void setServing(long now, boolean serves);

    /** The host of another router refused a reachability probe that was sent at a time. */
    void reachabilityRefused(long now, int router, long probedAt);

    /** The cache of a zone that a client should connect to for an object, or {@link #NO_CACHE}. */
    long selectCache(long now, int zone, long objectId);

    /** How many endpoints get nothing new now: those that drain and those that are ejected. */
    int avoidedEndpoints(long now);

    /** Reads with a staleness bound. */
    BoundedReads boundedReads();

    /** The other routers, as far as is known. */
    MembershipView membership();

    /** Statistics of the parts that are off by default, by their external names; empty while they are off. */
    default Map<String, Long> statistics(long now) {
        return Map.of();
    }
}
