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
 * The engine and its connections to one endpoint, over real sockets, with a scripted routing policy: each request is
 * sent to the endpoint once, and the test decides what follows. Request classes 0, 1 and 2 are pure, keyed and unsafe.
 */
final class UpstreamHarness implements AutoCloseable {
    static final long ENDPOINT_ID = 1;
    static final int PURE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final long WINDOW_US = 600_000_000;
    private static final long TIMEOUT_S = 20;
    static final int BUFFERS = 256;
    private static final int DIAL_TIMEOUT_US = 20_000_000;
    private static final int CONNECTIONS = 16;

    final Counters counters = new Counters();
    final BufferPool pool = new BufferPool(BUFFERS, counters);
    /** The sockets, in the order in which connecting began. */
    final BlockingQueue<ControlledSocket> sockets = new LinkedBlockingQueue<>();

    final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    final BlockingQueue<PendingRequest.Response> answers = new LinkedBlockingQueue<>();
    final BlockingQueue<EndpointInfo> endpointUpdates = new LinkedBlockingQueue<>();
    final BlockingQueue<Long> disconnects = new LinkedBlockingQueue<>();
    volatile boolean holdsConnects;
    /** Called when a socket is created, on the endpoint's actor. */
    volatile Runnable onSocketCreated = () -> {};
    /** How long after the policy's decision an attempt may begin; 0: without a limit of its own. */
    volatile long startWithinUs;
    /** What the policy does with an outcome that does not complete its request; called on the engine's actor. */
    volatile BiConsumer<RoutingActions, AttemptOutcome> onOutcome =
            (actions, outcome) -> actions.reject(outcome.requestId(), 0);
    /** What the policy does with a message from a peer. */
    volatile BiConsumer<RoutingActions, byte[]> onPeerMessage = (actions, message) -> {};

    final Engine engine;
    private final UpstreamPool nodes;
    private final AtomicLong clockOffsetUs = new AtomicLong();
    private final InetSocketAddress address;
    private RoutingActions actions;

    UpstreamHarness(InetSocketAddress endpoint) {
        this(endpoint, InstantSource.system());
    }

    /** Uses the given clock; actors still sleep in real time. */
    UpstreamHarness(InetSocketAddress endpoint, InstantSource time) {
        address = endpoint;
        UnixClock clock = new UnixClock(() -> time.instant().plusNanos(clockOffsetUs.get() * 1_000));
        RoutingSettings settings = settings();
        nodes = new UpstreamPool(
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
                settings, this::policy, clock, counters, nodes, (to, message) -> {}, ResponseCache.disabled());
        nodes.setEngine(engine);
        engine.start();
        updateEndpoint(EndpointState.READY);
    }

    private Socket socket() {
        ControlledSocket socket = new ControlledSocket(holdsConnects);
        sockets.add(socket);
        onSocketCreated.run();
        return socket;
    }

    /** Reports the endpoint's state, and waits until the policy has received it. */
    void updateEndpoint(EndpointState state) {
        updateEndpoint(state, 0);
    }

    /** Reports the endpoint's state and start time, and waits until the policy has received them. */
    void updateEndpoint(EndpointState state, long startedUs) {
        reportEndpoint(state, startedUs);
        take(endpointUpdates);
    }

    /** Reports the endpoint's state and start time, and does not wait. */
    void reportEndpoint(EndpointState state, long startedUs) {
        EndpointInfo member = EndpointInfo.builder(ENDPOINT_ID, 0, 0)
                .startedUs(startedUs)
                .state(state)
                .build();
        engine.endpointsChanged(
                EndpointListMode.DELTA, List.of(new ListedEndpoint(member, Ipv4.toInt(address), address.getPort())));
    }

    /** Advances the clock by the given time. */
    void advanceClock(long us) {
        clockOffsetUs.addAndGet(us);
    }

    /** Sends a request with a deadline in an hour. */
    PendingRequest sendRequest(String trace, int profile, Body body) {
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
        return AttemptPlan.builder(ENDPOINT_ID).startByUs(beginBy).build();
    }

    /** A plan that may begin within the given time from now; 0: without a limit of its own. */
    AttemptPlan planWithin(long us) {
        return plan(us == 0 ? Long.MAX_VALUE : engine.now() + us);
    }

    private static RoutingSettings settings() {
        return EngineStubs.settings(
                EngineStubs.idempotentReads(),
                EngineStubs.requestClass(Idempotency.KEYED, false, WINDOW_US),
                EngineStubs.requestClass(Idempotency.NOT_IDEMPOTENT, false, WINDOW_US));
    }

    private RoutingPolicy policy(RoutingActions given) {
        actions = given;
        return EngineStubs.routingPolicy((method, arguments) -> {
            switch (method) {
                case "requestArrived" ->
                    actions.startAttempt(((RoutingRequest) arguments[1]).id(), ENDPOINT_ID, planWithin(startWithinUs));
                case "attemptEnded" -> attemptEnded((AttemptOutcome) arguments[1]);
                case "clientDisconnected" -> disconnects.add((Long) arguments[1]);
                case "endpointsChanged" -> endpointUpdates.addAll(castEndpoints(arguments[2]));
                case "peerMessageReceived" -> onPeerMessage.accept(actions, (byte[]) arguments[2]);
                default -> {}
            }
            return null;
        });
    }

    @SuppressWarnings("unchecked")
    private static List<EndpointInfo> castEndpoints(Object endpointUpdates) {
        return (List<EndpointInfo>) endpointUpdates;
    }

    private void attemptEnded(AttemptOutcome outcome) {
        outcomes.add(outcome);
        if (!outcome.requestCompleted()) {
            onOutcome.accept(actions, outcome);
        }
    }

    /** Closes all connections, as the end of the process does. */
    void closeConnections() {
        nodes.closeConnections();
    }

    long counter(Counter counter) {
        return counters.get(counter);
    }

    static <T> T take(BlockingQueue<T> of) {
        try {
            T next = of.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(next, "nothing arrived within " + TIMEOUT_S + " s");
            return next;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    static void awaitCondition(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "timed out waiting for: " + what);
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws IOException {
        engine.shutDown(List.of());
        for (ControlledSocket each : sockets) {
            each.resumeReads();
            each.resumeAvailable();
            each.close();
        }
    }
}
