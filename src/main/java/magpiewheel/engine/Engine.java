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
    public interface Peers {
        /** One message to one front. */
        void tell(int recipient, byte[] message);

        /** Whether anybody listens at a front's address; an answer, if one comes, is {@link Engine#refused}. */
        default void knock(int recipient, long at) {}
    }

    private static final int MAILBOX = 4_096;
    /** us; operators' figures may be half a second old. */
    private static final long SHOW_US = 150_000;
    /** The module reads object 0 as a whole group, so an object of that number goes by another. */
    private static final long ZERO_OBJECT = 0x5bd1e9955bd1e995L;

    private final UnixClock clock;
    private final ResponseCache copies;
    private final Counters counters;
    private final Upstream upstream;
    private final RoutingPolicy director;
    private final Timers timers;
    private final RequestLifecycle requests;
    private final Map<Long, ListedEndpoint> listed = new HashMap<>();
    private volatile boolean nodesReady;

    /** An engine for the module that the function makes from the engine's actions. */
    public Engine(
            RoutingSettings settings,
            Function<RoutingActions, RoutingPolicy> module,
            UnixClock clock,
            Counters counters,
            Upstream upstream,
            Peers peers,
            ResponseCache copies) {
        super("module", MAILBOX, counters);
        this.clock = clock;
        this.counters = counters;
        this.upstream = upstream;
        this.copies = copies;
        this.timers = new Timers(clock);
        this.requests = new RequestLifecycle(settings, clock, timers, counters, upstream, copies, listed::get);
        EngineRoutingActions actions = new EngineRoutingActions(clock, timers, requests, peers);
        this.director = module.apply(actions);
        actions.module(director);
        requests.module(director);
    }

    /** Sets who sees every attempt end; only before the start. */
    public void watch(AttemptListener watcher) {
        requests.watch(watcher);
    }

    /** Keeps the figures of the nodes up to date; only before the start. */
    public void show(ServiceStats figures) {
        timers.at(clock.now() + SHOW_US, () -> {
            figures.nodes(listed.size(), director.avoidedEndpoints(clock.now()));
            figures.fleet(
                    director.membership().verdict().ordinal(),
                    director.membership().runningMembers().size());
            figures.parts(director.statistics(clock.now()));
            show(figures);
        });
    }

    // ---------------------------------------------------------------- what others tell it

    /** Takes a request, or answers it at once where there is no room. */
    public void take(PendingRequest call) {
        counters.add(Counter.REQUESTS);
        if (!offer(() -> requests.taken(call))) {
            // This is the asker's thread: nothing of the module's actor may be touched here.
            counters.add(Counter.MAILBOX_FULL);
            counters.add(Counter.REFUSED);
            if (call.ask.body() != null) {
                call.ask.body().release();
            }
            call.asker.answer(call, PendingRequest.Answer.refused(requests.pauseUs()));
        }
    }

    /** The client no longer waits; no answer is owed. With a full mailbox this waits, the mark on the call does not. */
    public void gone(PendingRequest call) {
        call.abandon();
        put(() -> requests.left(call));
    }

    /** An attempt has ended. */
    public void ended(Attempt attempt, UpstreamOutcome outcome) {
        if (!put(() -> requests.ending(attempt, outcome)) && outcome.body() != null) {
            outcome.body().release();
        }
    }

    /** The list of nodes has changed. */
    public void members(EndpointListMode mode, List<ListedEndpoint> nodes) {
        put(() -> {
            upstream.listed(nodes, mode != EndpointListMode.DELTA);
            if (mode != EndpointListMode.DELTA) {
                listed.clear();
            }
            for (ListedEndpoint node : nodes) {
                if (node.member().state() == EndpointState.REMOVED) {
                    listed.remove(node.member().id());
                } else {
                    listed.put(node.member().id(), node);
                }
            }
            director.endpointsChanged(
                    clock.now(),
                    mode,
                    nodes.stream().map(ListedEndpoint::member).toList());
            nodesReady = listed.values().stream().anyMatch(node -> node.member().state() == EndpointState.READY);
        });
    }

    /** A purge was made at a Unix millisecond: of an object, or with null of the whole group. */
    public void purged(Long object, int group, long atMs) {
        put(() -> {
            long now = clock.now();
            // A purge stamped ahead of this clock counts as made now.
            long ago = Math.max(0, now - atMs * 1000);
            copies.purge(object, group);
            director.objectsPurged(now, new Purge(ago, object == null ? 0 : number(object), group, atMs));
        });
    }

    /** The board was heard at a time, with all that it told before. */
    public void boardHeard(long at) {
        put(() -> director.boundedReads().discoveryHeard(Math.min(clock.now(), at)));
    }

    /** A message from another front. */
    public void heard(int sender, byte[] message) {
        if (!offer(() -> director.peerMessageReceived(clock.now(), sender, message))) {
            counters.add(Counter.PEER_DROPPED);
        }
    }

    /** The machine of another front said that nobody listens there. */
    public void refused(int front, long askedAt) {
        offer(() -> director.reachabilityRefused(clock.now(), front, askedAt));
    }

    /** The front may be named to clients from now on. */
    public void announce() {
        put(() -> director.setServing(clock.now(), true));
    }

    /** The front wants no more clients: the others are told at once, and again with each beat. */
    public void leave() {
        put(() -> director.setServing(clock.now(), false));
    }

    /**
     * Calls back once with IPv4 addresses, on the module's actor: those of a zone's live fronts or, for an object, of
     * the cache that the module would pick. Empty where nothing lives.
     */
    public void lookup(int zone, Long object, Consumer<List<Integer>> reply) {
        if (!offer(() -> reply.accept(found(zone, object)))) {
            counters.add(Counter.MAILBOX_FULL);
            reply.accept(List.of());
        }
    }

    private List<Integer> found(int zone, Long object) {
        long now = clock.now();
        if (object == null) {
            return director.membership().servingAddresses(zone);
        }
        ListedEndpoint node = listed.get(director.selectCache(now, zone, number(object)));
        return node == null ? List.of() : List.of(node.address());
    }

    /** Ends the actor and lets go of all nodes but these. */
    public void end(List<ListedEndpoint> left) {
        put(() -> upstream.listed(left, true));
        stop();
    }

    /** The time by the clock that everything here goes by. */
    public long now() {
        return clock.now();
    }

    /** How long a client is asked to stay away where the front itself turns it away; 0 where that may not be said. */
    public long pauseUs() {
        return requests.pauseUs();
    }

    /** Requests taken and not yet answered. */
    public int open() {
        return requests.open();
    }

    /** Whether it knows of a node that requests may be sent to. */
    public boolean ready() {
        return nodesReady;
    }

    /** The number by which the module knows an object. */
    static long number(long object) {
        return object == 0 ? ZERO_OBJECT : object;
    }

    @Override
    protected long idleUs() {
        return timers.untilNextUs();
    }

    @Override
    protected void due() {
        timers.run();
    }
}
