package magpiewheel.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.EndpointState;
import magpiewheel.routing.Purge;
import magpiewheel.routing.RoutingActions;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingSettings;

/**
 * The actor that runs the routing policy: it receives all events for the policy in order and handles them on one thread
 * at a time. {@link RequestLifecycle} manages the requests, {@link Timers} the timers, and {@link EngineRoutingActions}
 * carries out the policy's actions. The engine is independent of the wire protocols.
 *
 * <p>When the mailbox is full, new requests are rejected and peer messages dropped; endpoints, discovery and
 * disconnecting clients block until there is room.
 */
public final class Engine extends Actor {
    /** Sends messages to other routers; called on the engine's actor, so it must not block. */
    public interface PeerTransport {
        /** Sends a message to a router. */
        void send(int routerId, byte[] message);

        /**
         * Probes whether anything listens at a router's address; a refusal is reported to
         * {@link Engine#reachabilityRefused}.
         */
        default void probe(int routerId, long atUs) {}
    }

    private static final int MAILBOX_CAPACITY = 4_096;
    /** Microseconds between updates of the operators' figures, which may be up to half a second old. */
    private static final long STATS_INTERVAL_US = 150_000;
    /** The routing policy takes object 0 for a whole group, so an object with that identifier is mapped to this one. */
    private static final long ROUTING_ID_OF_OBJECT_ZERO = 0x5bd1e9955bd1e995L;

    private final UnixClock clock;
    private final ResponseCache responseCache;
    private final Counters counters;
    private final Upstream upstream;
    private final RoutingPolicy routingPolicy;
    private final Timers timers;
    private final RequestLifecycle requestLifecycle;
    private final Map<Long, ListedEndpoint> endpoints = new HashMap<>();
    private volatile boolean anyEndpointReady;

    /** Creates an engine for the routing policy that {@code policyFactory} creates from the engine's actions. */
    public Engine(
            RoutingSettings settings,
            Function<RoutingActions, RoutingPolicy> policyFactory,
            UnixClock clock,
            Counters counters,
            Upstream upstream,
            PeerTransport peers,
            ResponseCache responseCache) {
        super("engine", MAILBOX_CAPACITY, counters);
        this.clock = clock;
        this.counters = counters;
        this.upstream = upstream;
        this.responseCache = responseCache;
        this.timers = new Timers(clock);
        this.requestLifecycle =
                new RequestLifecycle(settings, clock, timers, counters, upstream, responseCache, endpoints::get);
        EngineRoutingActions actions = new EngineRoutingActions(clock, timers, requestLifecycle, peers);
        this.routingPolicy = policyFactory.apply(actions);
        actions.setRoutingPolicy(routingPolicy);
        requestLifecycle.setRoutingPolicy(routingPolicy);
    }

    /** Sets the listener for the end of every attempt; only before the start. */
    public void setAttemptListener(AttemptListener listener) {
        requestLifecycle.setAttemptListener(listener);
    }

    /** Publishes the figures of endpoints and peers periodically; the first call must come before the start. */
    public void publishStats(ServiceStats stats) {
        timers.schedule(clock.now() + STATS_INTERVAL_US, () -> {
            stats.endpoints(endpoints.size(), routingPolicy.avoidedEndpoints(clock.now()));
            stats.membership(
                    routingPolicy.membership().verdict().ordinal(),
                    routingPolicy.membership().runningMembers().size());
            stats.optionalFigures(routingPolicy.statistics(clock.now()));
            publishStats(stats);
        });
    }

    // ---------------------------------------------------------------- events

    /** Accepts a request, or rejects it on the calling thread if the mailbox is full. */
    public void submit(PendingRequest request) {
        counters.add(Counter.REQUESTS);
        if (!offer(() -> requestLifecycle.accept(request))) {
            // Runs on the caller's thread: state of the engine's actor must not be accessed here.
            counters.add(Counter.MAILBOX_FULL);
            counters.add(Counter.REFUSED);
            if (request.clientRequest.body() != null) {
                request.clientRequest.body().release();
            }
            request.responder.respond(request, PendingRequest.Response.rejected(requestLifecycle.retryAfterUs()));
        }
    }

    /**
     * The client disconnected and needs no response. Blocks while the mailbox is full; the request is marked as
     * abandoned before that.
     */
    public void clientDisconnected(PendingRequest request) {
        request.abandon();
        put(() -> requestLifecycle.clientDisconnected(request));
    }

    /** An attempt has ended. Takes over the reference to the outcome's body. */
    public void attemptEnded(Attempt attempt, UpstreamOutcome outcome) {
        if (!put(() -> requestLifecycle.attemptEnded(attempt, outcome)) && outcome.body() != null) {
            outcome.body().release();
        }
    }

    /** The endpoint list has changed. */
    public void endpointsChanged(EndpointListMode mode, List<ListedEndpoint> changed) {
        upstream.excludeUnready(changed, mode != EndpointListMode.DELTA);
        put(() -> {
            upstream.endpointsChanged(changed, mode != EndpointListMode.DELTA);
            if (mode != EndpointListMode.DELTA) {
                endpoints.clear();
            }
            for (ListedEndpoint endpoint : changed) {
                if (endpoint.info().state() == EndpointState.REMOVED) {
                    endpoints.remove(endpoint.info().id());
                } else {
                    endpoints.put(endpoint.info().id(), endpoint);
                }
            }
            routingPolicy.endpointsChanged(
                    clock.now(),
                    mode,
                    changed.stream().map(ListedEndpoint::info).toList());
            anyEndpointReady = endpoints.values().stream()
                    .anyMatch(endpoint -> endpoint.info().state() == EndpointState.READY);
        });
    }

    /** An object, or the whole group if {@code object} is null, was purged at this time (Unix milliseconds). */
    public void objectsPurged(Long object, int group, long purgedAtMs) {
        put(() -> {
            long now = clock.now();
            // A purge time ahead of this router's clock counts as now.
            long ageUs = Math.max(0, now - purgedAtMs * 1000);
            responseCache.purge(object, group);
            routingPolicy.objectsPurged(
                    now, new Purge(ageUs, object == null ? 0 : routingObjectId(object), group, purgedAtMs));
        });
    }

    /** From now on this router follows a discovery service; what the configuration names is current. */
    public void discoveryExpected() {
        put(() -> routingPolicy.discoveryExpected(clock.now()));
    }

    /**
     * Discovery was in contact at this time (Unix microseconds), and all its earlier changes have been received; its
     * answers take so long.
     */
    public void discoveryHeard(long atUs, long delayUs) {
        put(() -> {
            long heardAtUs = Math.min(clock.now(), atUs);
            upstream.listCurrentAsOf(heardAtUs - delayUs);
            routingPolicy.discoveryHeard(heardAtUs, delayUs);
        });
    }

    /** A message from another router arrived; it is dropped if the mailbox is full. */
    public void peerMessageReceived(int routerId, byte[] message) {
        if (!offer(() -> routingPolicy.peerMessageReceived(clock.now(), routerId, message))) {
            counters.add(Counter.PEER_DROPPED);
        }
    }

    /** The host of another router refused the probe that was sent at this time: nothing listens there. */
    public void reachabilityRefused(int routerId, long probedAtUs) {
        offer(() -> routingPolicy.reachabilityRefused(clock.now(), routerId, probedAtUs));
    }

    /** This router may be announced to clients from now on. */
    public void startServing() {
        put(() -> routingPolicy.setServing(clock.now(), true));
    }

    /** This router takes no more clients; its peers are notified at once and with every heartbeat. */
    public void stopServing() {
        put(() -> routingPolicy.setServing(clock.now(), false));
    }

    /**
     * Calls back exactly once with IPv4 addresses: those of a zone's serving routers if {@code object} is null, else
     * that of the cache that the routing policy would select for the object. The list is empty if there is none. The
     * callback runs on the engine's actor, or on the calling thread if the mailbox is full.
     */
    public void lookup(int zone, Long object, Consumer<List<Integer>> reply) {
        if (!offer(() -> reply.accept(resolve(zone, object)))) {
            counters.add(Counter.MAILBOX_FULL);
            reply.accept(List.of());
        }
    }

    private List<Integer> resolve(int zone, Long object) {
        long now = clock.now();
        if (object == null) {
            return routingPolicy.membership().servingAddresses(zone);
        }
        ListedEndpoint endpoint = endpoints.get(routingPolicy.selectCache(now, zone, routingObjectId(object)));
        return endpoint == null ? List.of() : List.of(endpoint.address());
    }

    /** Stops the actor and removes all endpoints except these. */
    public void shutDown(List<ListedEndpoint> drainingEndpoints) {
        put(() -> upstream.endpointsChanged(drainingEndpoints, true));
        stop();
    }

    /** Returns the time of the engine's clock, in Unix microseconds. */
    public long now() {
        return clock.now();
    }

    /**
     * Returns the retry-after time in microseconds for requests that this router itself rejects; 0 if none may be sent.
     */
    public long retryAfterUs() {
        return requestLifecycle.retryAfterUs();
    }

    /** Returns the number of requests in flight: accepted, and not yet finished. Any thread may call it. */
    public int inFlight() {
        return requestLifecycle.inFlight();
    }

    /** Whether the endpoint list has an endpoint that is ready for requests. Any thread may call it. */
    public boolean hasReadyEndpoint() {
        return anyEndpointReady;
    }

    /** Returns the identifier that the routing policy uses for an object. */
    static long routingObjectId(long object) {
        return object == 0 ? ROUTING_ID_OF_OBJECT_ZERO : object;
    }

    @Override
    protected long untilDueWorkUs() {
        return timers.untilDueUs();
    }

    @Override
    protected void runDueWork() {
        timers.runDue();
    }
}
