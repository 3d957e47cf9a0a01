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
 * The module's actor: what others tell the module comes in here, in order, and one thread works it off. The life of
 * requests is {@link RequestLifecycle}', what is to be done at a time {@link Timers}', and what the module asks for
 * goes out by {@link EngineRoutingActions}. It knows no wire.
 *
 * <p>A full mailbox turns requests away and drops peers' messages; nodes, the list and leaving clients wait.
 */
public final class Engine extends Actor {
    /** Sends messages to other fronts; called on the module's actor, so it must not wait. */
    public interface PeerTransport {
        /** One message to one front. */
        void send(int recipient, byte[] message);

        /**
         * Whether anybody listens at a front's address; an answer, if one comes, is {@link Engine#reachabilityRefused}.
         */
        default void probe(int recipient, long atUs) {}
    }

    private static final int MAILBOX_CAPACITY = 4_096;
    /** us; operators' figures may be half a second old. */
    private static final long STATS_INTERVAL_US = 150_000;
    /** The module reads object 0 as a whole group, so an object of that number goes by another. */
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

    /** An engine for the module that the function makes from the engine's actions. */
    public Engine(
            RoutingSettings settings,
            Function<RoutingActions, RoutingPolicy> policyFactory,
            UnixClock clock,
            Counters counters,
            Upstream upstream,
            PeerTransport peers,
            ResponseCache responseCache) {
        super("module", MAILBOX_CAPACITY, counters);
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

    /** Sets who sees every attempt end; only before the start. */
    public void setAttemptListener(AttemptListener listener) {
        requestLifecycle.setAttemptListener(listener);
    }

    /** Keeps the figures of the nodes up to date; only before the start. */
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

    // ---------------------------------------------------------------- what others tell it

    /** Takes a request, or answers it at once where there is no room. */
    public void submit(PendingRequest request) {
        counters.add(Counter.REQUESTS);
        if (!offer(() -> requestLifecycle.accept(request))) {
            // This is the asker's thread: nothing of the module's actor may be touched here.
            counters.add(Counter.MAILBOX_FULL);
            counters.add(Counter.REFUSED);
            if (request.request.body() != null) {
                request.request.body().release();
            }
            request.responder.respond(request, PendingRequest.Response.rejected(requestLifecycle.retryAfterUs()));
        }
    }

    /** The client no longer waits; no answer is owed. With a full mailbox this waits, the mark on the call does not. */
    public void clientDisconnected(PendingRequest request) {
        request.abandon();
        put(() -> requestLifecycle.clientDisconnected(request));
    }

    /** An attempt has ended. */
    public void attemptEnded(Attempt attempt, UpstreamOutcome outcome) {
        if (!put(() -> requestLifecycle.attemptEnded(attempt, outcome)) && outcome.body() != null) {
            outcome.body().release();
        }
    }

    /** The list of nodes has changed. */
    public void endpointsChanged(EndpointListMode mode, List<ListedEndpoint> changed) {
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

    /** A purge was made at a Unix millisecond: of an object, or with null of the whole group. */
    public void objectsPurged(Long object, int group, long purgedAtMs) {
        put(() -> {
            long now = clock.now();
            // A purge stamped ahead of this clock counts as made now.
            long ageUs = Math.max(0, now - purgedAtMs * 1000);
            responseCache.purge(object, group);
            routingPolicy.objectsPurged(
                    now, new Purge(ageUs, object == null ? 0 : routingObjectId(object), group, purgedAtMs));
        });
    }

    /** The board was heard at a time, with all that it told before. */
    public void discoveryHeard(long atUs) {
        put(() -> routingPolicy.boundedReads().discoveryHeard(Math.min(clock.now(), atUs)));
    }

    /** A message from another front. */
    public void peerMessageReceived(int sender, byte[] message) {
        if (!offer(() -> routingPolicy.peerMessageReceived(clock.now(), sender, message))) {
            counters.add(Counter.PEER_DROPPED);
        }
    }

    /** The machine of another front said that nobody listens there. */
    public void reachabilityRefused(int routerId, long probedAtUs) {
        offer(() -> routingPolicy.reachabilityRefused(clock.now(), routerId, probedAtUs));
    }

    /** The front may be named to clients from now on. */
    public void startServing() {
        put(() -> routingPolicy.setServing(clock.now(), true));
    }

    /** The front wants no more clients: the others are told at once, and again with each beat. */
    public void stopServing() {
        put(() -> routingPolicy.setServing(clock.now(), false));
    }

    /**
     * Calls back once with IPv4 addresses, on the module's actor: those of a zone's live fronts or, for an object, of
     * the cache that the module would pick. Empty where nothing lives.
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

    /** Ends the actor and lets go of all nodes but these. */
    public void shutDown(List<ListedEndpoint> drainingEndpoints) {
        put(() -> upstream.endpointsChanged(drainingEndpoints, true));
        stop();
    }

    /** The time by the clock that everything here goes by. */
    public long now() {
        return clock.now();
    }

    /** How long a client is asked to stay away where the front itself turns it away; 0 where that may not be said. */
    public long retryAfterUs() {
        return requestLifecycle.retryAfterUs();
    }

    /** Requests taken and not yet answered. */
    public int inFlight() {
        return requestLifecycle.inFlight();
    }

    /** Whether it knows of a node that requests may be sent to. */
    public boolean hasReadyEndpoint() {
        return anyEndpointReady;
    }

    /** The number by which the module knows an object. */
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
