package magpiewheel.routing;

import java.util.List;
import java.util.Map;
import magpiewheel.membership.MembershipView;

/**
 * Makes the routing decisions: events come in, actions go out. The caller calls one method for each event; the policy
 * calls the {@link RoutingActions} that it was created with, only during that call.
 *
 * <p>Units: all times are microseconds unless a name says otherwise. {@code now} is the caller's monotonic clock, with
 * an arbitrary start; the policy has no other clock. Endpoints, requests and objects are opaque numbers chosen by the
 * caller.
 *
 * <p>Threading: an instance is used by one thread at a time. Only {@link #evaluateDelivery} may be called from within
 * one of its own actions.
 *
 * <p>Errors: events about requests that are not in flight are ignored, since outcomes and timers may be late. A request
 * of an unknown class causes an {@link IllegalArgumentException}.
 */
public interface RoutingPolicy {
    /** Result of {@link #selectCache} if no cache is usable. */
    long NO_CACHE = -1;

    /** Handles an endpoint list from discovery, or a change to it; the list is empty with {@code FAILED}. */
    void endpointsChanged(long now, EndpointListMode mode, List<EndpointInfo> endpoints);

    /**
     * Handles a client's request. It gets exactly one final answer, unless the client disconnects.
     *
     * @param localCopy the router's local copy of the requested object; null if there is none
     */
    void requestArrived(long now, RoutingRequest request, LocalCopy localCopy);

    /** Handles a client's request for an object of which the router has no local copy. */
    default void requestArrived(long now, RoutingRequest request) {
        requestArrived(now, request, null);
    }

    /** Handles the start of a streaming response: from now on only this attempt answers the client. */
    void streamStarted(long now, long requestId, int attempt);

    /**
     * Decides whether a response is delivered; called for every response. See {@link BoundedReads#evaluateDelivery}.
     */
    default DeliveryDecision evaluateDelivery(long now, long requestId, long originTimeMs) {
        return boundedReads().evaluateDelivery(now, requestId, originTimeMs);
    }

    /** Handles the end of an attempt. */
    void attemptEnded(long now, AttemptOutcome outcome);

    /** Handles the disconnection of a client, which gets no answer. */
    void clientDisconnected(long now, long requestId);

    /** Handles a purge made at the origin. */
    void objectsPurged(long now, Purge purge);

    /** Handles that from now on this router follows a discovery service, and that its configuration is current. */
    void discoveryExpected(long now);

    /**
     * Handles a frame of discovery, behind the events that arrived before it.
     *
     * @param heardAt when the frame arrived
     * @param delayUs how late the frames of its connection are
     */
    void discoveryHeard(long heardAt, long delayUs);

    /** Handles the expiry of a timer set with {@link RoutingActions#setTimer}. */
    void timerExpired(long now, long handle);

    /** Handles the result of a health check; a policy that requests none ignores it. */
    default void healthCheckEnded(long now, HealthCheckResult result) {}

    /** Handles a message from another router; its content is not trusted. */
    void peerMessageReceived(long now, long sender, byte[] message);

    /** Sets whether this router serves or drains. */
    void setServing(long now, boolean serves);

    /** Handles the refusal, by the host of another router, of the reachability probe sent at {@code probedAt}. */
    void reachabilityRefused(long now, int router, long probedAt);

    /** Returns the cache of a zone that a client should connect to for an object, or {@link #NO_CACHE}. */
    long selectCache(long now, int zone, long objectId);

    /** Returns the number of endpoints that receive no new requests: those that drain or are ejected. */
    int avoidedEndpoints(long now);

    /** Returns the handling of reads with a staleness bound. */
    BoundedReads boundedReads();

    /** Returns this router's view of the other routers. */
    MembershipView membership();

    /** Returns the statistics of features that are off by default, by external name; empty while they are off. */
    default Map<String, Long> statistics(long now) {
        return Map.of();
    }
}
