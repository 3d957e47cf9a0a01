package magpiewheel.routing;

import java.util.List;
import java.util.Map;
import magpiewheel.membership.MembershipView;

/**
 * The interface between a request router and its decision module. The router calls one method for each event; the
 * module answers through the {@link RoutingActions} sink that it was built with, during that call only.
 *
 * <p>All times are microseconds. {@code now} is the caller's clock, which starts anywhere and never goes back; the
 * module has no other. Nodes, requests and objects are opaque numbers chosen by the caller. Events about requests that
 * the module does not hold are ignored, since outcomes and timers may be late. One instance is used by one thread at a
 * time.
 */
public interface RoutingPolicy {

    /** Discovery's list or a change to it; {@code FAILED} carries no members. */
    void endpointsChanged(long now, EndpointListMode mode, List<EndpointInfo> members);

    /** A client's request has come and is owed one final answer; {@code own} is null unless the router holds a copy. */
    void requestArrived(long now, RoutingRequest request, LocalCopy own);

    /** Likewise, for a router without copies. */
    default void requestArrived(long now, RoutingRequest request) {
        requestArrived(now, request, null);
    }

    /** A stream has begun: this attempt is the client's now. */
    void streamStarted(long now, long request, int attempt);

    /** Asked of every answer before it is passed on, whatever way it came; {@link BoundedReads#evaluateDelivery}. */
    default DeliveryDecision evaluateDelivery(long now, long request, long mintedMs) {
        return boundedReads().evaluateDelivery(now, request, mintedMs);
    }

    /** An attempt has ended. */
    void attemptEnded(long now, AttemptOutcome outcome);

    /** The client has left; nothing is owed. */
    void clientDisconnected(long now, long request);

    /** A purge was made at the origin. */
    void objectsPurged(long now, Purge purge);

    /** A timer asked for by {@link RoutingActions#setTimer} is due. */
    void timerExpired(long now, long handle);

    /** A probe has ended. Who asks for none has nothing to do. */
    default void healthCheckEnded(long now, HealthCheckResult result) {}

    /** A message from another director; anything may stand in it. */
    void peerMessageReceived(long now, long sender, byte[] message);

    /** Which other directors are there, as far as is known. */
    MembershipView membership();

    /** What operators are shown of parts that are off by preset, by name; empty while they are. */
    default Map<String, Long> statistics(long now) {
        return Map.of();
    }

    /** Whether this director serves from now on, or wants no more clients. */
    void setServing(long now, boolean serves);

    /** Asked at a time whether anybody listens there, the machine of another director said no. */
    void reachabilityRefused(long now, int director, long askedAt);

    /** Reads of bounded staleness. */
    BoundedReads boundedReads();

    /** How many nodes of the list get nothing new now: those that drain, and those left out for how they answer. */
    int avoidedEndpoints(long now);

    /** Where {@link #selectCache} finds no cache. */
    long NO_CACHE = -1;

    /** The cache of a zone that a client should go to by itself for an object, or {@link #NO_CACHE}. */
    long selectCache(long now, int zone, long object);
}
