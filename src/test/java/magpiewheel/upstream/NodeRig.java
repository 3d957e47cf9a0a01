package magpiewheel.upstream;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import magpiewheel.engine.Body;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EngineStubs;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.ResponseCache;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.EndpointState;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.RoutingActions;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingRequest;
import magpiewheel.routing.RoutingSettings;

/**
 * The engine and its connections to one node, over real sockets, with a scripted module: each request goes to the node
 * once, and what follows is the test's to say. Classes 0, 1 and 2 are pure, keyed and unsafe.
 */
final class NodeRig implements AutoCloseable {
    static final long NODE = 1;
    static final int PURE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final long WINDOW_US = 600_000_000;
    private static final long WAIT_S = 20;
    static final int BUFFERS = 256;
    private static final int DIAL_TIMEOUT_US = 20_000_000;
    private static final int CONNECTIONS = 16;

    final Counters counters = new Counters();
    final BufferPool pool = new BufferPool(BUFFERS, counters);
    /** The connections, in the order in which they were begun. */
    final BlockingQueue<HeldSocket> dials = new LinkedBlockingQueue<>();

    final BlockingQueue<AttemptOutcome> told = new LinkedBlockingQueue<>();
    final BlockingQueue<PendingRequest.Response> answers = new LinkedBlockingQueue<>();
    final BlockingQueue<EndpointInfo> members = new LinkedBlockingQueue<>();
    final BlockingQueue<Long> gone = new LinkedBlockingQueue<>();
    volatile boolean holdsDials;
    /** What else is done where a connection is begun, on the node's actor. */
    volatile Runnable onDial = () -> {};
    /** How long after its decision the module lets an attempt begin; 0: as long as the request has time. */
    volatile long beginWithinUs;
    /** What the module does with an outcome of a request that is not over; first of all, on the module's actor. */
    volatile BiConsumer<RoutingActions, AttemptOutcome> onOutcome =
            (actions, outcome) -> actions.reject(outcome.requestId(), 0);
    /** What it does with a message from another front. */
    volatile BiConsumer<RoutingActions, byte[]> onPeer = (actions, message) -> {};

    final Engine engine;
    private final AtomicLong aheadUs = new AtomicLong();
    private final InetSocketAddress at;
    private RoutingActions actions;

    NodeRig(InetSocketAddress node) {
        this(node, InstantSource.system());
    }

    /** Goes by a clock of the test's own; how long actors sleep is real time all the same. */
    NodeRig(InetSocketAddress node, InstantSource time) {
        at = node;
        UnixClock clock = new UnixClock(() -> time.instant().plusNanos(aheadUs.get() * 1_000));
        RoutingSettings settings = settings();
        UpstreamPool nodes = new UpstreamPool(
                pool,
                counters,
                settings.requestClasses(),
                DIAL_TIMEOUT_US,
                0,
                CONNECTIONS,
                new WorkerPool(),
                clock,
                this::socket);
        engine = new Engine(
                settings, this::module, clock, counters, nodes, (to, message) -> {}, ResponseCache.disabled());
        nodes.setEngine(engine);
        engine.start();
        list(EndpointState.READY);
    }

    private Socket socket() {
        HeldSocket socket = new HeldSocket(holdsDials);
        dials.add(socket);
        onDial.run();
        return socket;
    }

    /** Tells of the node's state, and waits until the module has heard of it. */
    void list(EndpointState state) {
        list(state, 0);
    }

    /** Likewise, of a process that was started at a time. */
    void list(EndpointState state, long startedUs) {
        EndpointInfo member = EndpointInfo.builder(NODE, 0, 0)
                .startedUs(startedUs)
                .state(state)
                .build();
        engine.endpointsChanged(
                EndpointListMode.DELTA, List.of(new ListedEndpoint(member, Ipv4.toInt(at), at.getPort())));
        next(members);
    }

    /** The clock by which all goes is so much further on. */
    void pass(long us) {
        aheadUs.addAndGet(us);
    }

    /** A request that has an hour. */
    PendingRequest ask(String trace, int profile, Body body) {
        long now = engine.now();
        long later = now + TimeUnit.HOURS.toMicros(1);
        PendingRequest call = new PendingRequest(
                new PendingRequest.ClientRequest(trace, profile, "v", 1, 0, 0, 0, 1, null, null, body),
                new PendingRequest.Responder() {
                    @Override
                    public void respond(PendingRequest of, PendingRequest.Response answer) {
                        answers.add(answer);
                    }

                    @Override
                    public PendingRequest.ConnectionAddresses addresses() {
                        return null;
                    }
                },
                now,
                later,
                later);
        engine.submit(call);
        return call;
    }

    static AttemptPlan plan() {
        return plan(Long.MAX_VALUE);
    }

    private static AttemptPlan plan(long beginBy) {
        return AttemptPlan.builder(NODE).startByUs(beginBy).build();
    }

    /** A plan that may begin within so many us from now; 0: as long as the request has time. */
    AttemptPlan planWithin(long us) {
        return plan(us == 0 ? Long.MAX_VALUE : engine.now() + us);
    }

    private static RoutingSettings settings() {
        return EngineStubs.settings(
                EngineStubs.idempotentReads(),
                EngineStubs.requestClass(Idempotency.KEYED, false, WINDOW_US),
                EngineStubs.requestClass(Idempotency.NOT_IDEMPOTENT, false, WINDOW_US));
    }

    private RoutingPolicy module(RoutingActions given) {
        actions = given;
        return EngineStubs.routingPolicy((method, arguments) -> {
            switch (method) {
                case "requestArrived" ->
                    actions.startAttempt(((RoutingRequest) arguments[1]).id(), NODE, planWithin(beginWithinUs));
                case "attemptEnded" -> ended((AttemptOutcome) arguments[1]);
                case "clientDisconnected" -> gone.add((Long) arguments[1]);
                case "endpointsChanged" -> members.addAll(castMembers(arguments[2]));
                case "peerMessageReceived" -> onPeer.accept(actions, (byte[]) arguments[2]);
                default -> {}
            }
            return null;
        });
    }

    @SuppressWarnings("unchecked")
    private static List<EndpointInfo> castMembers(Object members) {
        return (List<EndpointInfo>) members;
    }

    private void ended(AttemptOutcome outcome) {
        told.add(outcome);
        if (!outcome.requestCompleted()) {
            onOutcome.accept(actions, outcome);
        }
    }

    long count(Counter counter) {
        return counters.get(counter);
    }

    static <T> T next(BlockingQueue<T> of) {
        try {
            T next = of.poll(WAIT_S, TimeUnit.SECONDS);
            assertNotNull(next, "nothing came");
            return next;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    static void until(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "never happened: " + what);
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws IOException {
        engine.shutDown(List.of());
        for (HeldSocket each : dials) {
            each.readOn();
            each.lookOn();
            each.close();
        }
    }
}
