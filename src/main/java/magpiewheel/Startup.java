package magpiewheel;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import magpiewheel.admin.AdminServer;
import magpiewheel.config.AppConfig;
import magpiewheel.config.ConfigException;
import magpiewheel.config.DescriptorShares;
import magpiewheel.config.FrontConfig;
import magpiewheel.config.Reload;
import magpiewheel.discovery.DiscoveryClient;
import magpiewheel.dns.DnsServer;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.ResponseCache;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.ServiceStats;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;
import magpiewheel.flows.FlowExporter;
import magpiewheel.flows.Metering;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.peers.PeerTransport;
import magpiewheel.records.FlowRing;
import magpiewheel.region.RegionConfig;
import magpiewheel.resp.ListeningSocket;
import magpiewheel.resp.RespServer;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RequestRouter;
import magpiewheel.routing.RouterTopology;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.upstream.UpstreamPool;

/**
 * Starts a front: builds its parts from its configuration, starts them in their order, and says that the front is up
 * once it has practised. Parts that are off are null.
 */
final class Startup {
    /** The buffers take at most one part in so many of the heap. */
    private static final int BUFFERS_PART = 2;

    /** Flows between their threads and the exporter, which looks every 50 ms: some 80,000 a second. */
    private static final int FLOWS_ON_THE_WAY = 4_096;

    private static final double OCTETS_A_KB = 1_000;

    private final AppConfig app;
    private final FrontConfig config;
    private final RoutingSettings settings;
    private final Reload reload;
    private final Counters counters;
    private final UnixClock clock;
    private final WorkerPool crew;
    private final BufferPool pool;
    private final DescriptorShares descriptors;

    private final PeerTransport peers;
    private final Engine engine;
    private final Metering metering;
    private final FlowExporter exporter;
    /** Whether the front has practised. */
    private final AtomicBoolean warm = new AtomicBoolean();
    /** What closes the sockets that are open until the process ends. */
    private final List<Runnable> sockets = new CopyOnWriteArrayList<>();

    private Startup(Map<String, String> env, Path appFile) throws IOException {
        counters = new Counters();
        reload = new Reload(env, counters);
        // Before any file is read: a signal that nobody has taken over ends the process.
        reload.hearSignal();
        app = AppConfig.read(appFile);
        config = FrontConfig.read(env);
        settings = config.settings().module();
        clock = app.pins() ? UnixClock.monotonic() : new UnixClock();
        crew = new WorkerPool();
        // Half of the buffers for what is under way, half for copies of the front's own; with little memory, fewer.
        int buffers = (int)
                Math.min(app.buffers(), Runtime.getRuntime().maxMemory() / BUFFERS_PART / BufferPool.BUFFER_BYTES);
        pool = new BufferPool(buffers, counters);
        ResponseCache copies = new ResponseCache(buffers / 2, config.flowBytesPerS(), config.linkBytesPerS());
        descriptors = DescriptorShares.of(config.sockets(), app, RespServer::descriptors);
        UpstreamPool nodes = cacheNodes();
        peers = config.peerListen() == null
                ? null
                : new PeerTransport(
                        config.peerListen(), config.peers(), settings.topology().routerId(), counters);
        engine = engine(nodes, copies);
        nodes.setEngine(engine);
        FlowRing ring = app.flows() == null ? null : new FlowRing(FLOWS_ON_THE_WAY);
        metering = ring == null ? null : metering(ring);
        exporter = ring == null ? null : new FlowExporter(exportSettings(), ring, counters);
    }

    /** Starts a front and returns it once it is up. */
    static RespServer start(Map<String, String> env, Path appFile) throws IOException {
        return new Startup(env, appFile).run();
    }

    private RespServer run() throws IOException {
        startExport();
        ServiceStats figures = startEngine();
        applyNotices();
        DiscoveryClient board = startBoard();
        if (peers != null) {
            peers.start(engine::peerMessageReceived, engine::reachabilityRefused, crew);
        }
        RespServer front = respFront(figures);
        sockets.add(board::close);
        if (peers != null) {
            sockets.add(peers::close);
        }
        // From the first client on: one that ends before it is warm has requests in hand, too.
        endOnSignal(front, engine, exporter, sockets, counters);
        ListeningSocket entrance = entrance();
        if (!entrance.isShared()) {
            front.start(entrance);
        }
        if (config.admin() != null) {
            startDoor(front, figures);
        }
        System.err.println("magpiewheel: " + config.name() + " listens at " + entrance.address());
        if (app.dns()) {
            startDns();
        }
        WarmUp.run(config, entrance.isShared() ? null : front.address(), crew);
        if (entrance.isShared()) {
            // Only now: until then the process before this one serves them better.
            front.start(entrance);
        }
        warm.set(true);
        System.err.println("magpiewheel: " + config.name() + " has practised");
        engine.startServing();
        return front;
    }

    private UpstreamPool cacheNodes() {
        return new UpstreamPool(
                pool,
                counters,
                settings.requestClasses(),
                config.dialTimeoutUs(),
                config.settings().idleCloseUs(),
                descriptors.nodeConnections(),
                crew,
                clock,
                Socket::new);
    }

    private Engine engine(UpstreamPool nodes, ResponseCache copies) {
        MembershipConfig setup = settings.topology()
                .membershipConfig(
                        Ipv4.toInt(config.listen()),
                        app.beatMs() * 1_000L,
                        clock.now() / 1_000,
                        app.refusals() && peers != null);
        RegionConfig regions = regions(setup);
        return new Engine(
                settings,
                actions -> new RequestRouter(settings, config.seed(), actions, setup, regions, app.pins()),
                clock,
                counters,
                nodes,
                peers == null ? (to, message) -> {} : peers,
                copies);
    }

    /** What a front is told of regions; null where they are off, or can't be on, which is said. */
    private RegionConfig regions(MembershipConfig setup) {
        RegionConfig regions =
                app.regions() && peers != null ? settings.regionConfig(setup.startedMs(), app.originTransfers()) : null;
        if (app.regions() && regions == null) {
            System.err.println(
                    "magpiewheel: fleet.regions needs peers, parents and branches that are attached to a hub: off");
        }
        return regions;
    }

    private Metering metering(FlowRing ring) {
        return new Metering(
                ring,
                clock,
                settings.topology(),
                Ipv4.toInt(config.listen()),
                config.listen().getPort());
    }

    private FlowExporter.Settings exportSettings() {
        AppConfig.Flows flows = app.flows();
        RouterTopology place = settings.topology();
        double link = place.zone() < place.linkKbPerSByZone().length
                ? place.linkKbPerSByZone()[place.zone()] * OCTETS_A_KB
                : 0;
        return new FlowExporter.Settings(
                flows.collectors(),
                flows.domain(),
                flows.templateMs(),
                flows.enterprise(),
                flows.mtu(),
                flows.store(),
                flows.drainPerS(),
                flows.intervalMs(),
                config.settings().classes(),
                config.settings().zones(),
                place.zone(),
                link / place.routersIn(place.zone()),
                config.seed());
    }

    private void startExport() {
        if (exporter != null) {
            engine.setAttemptListener(metering);
            exporter.start();
        }
    }

    private ServiceStats startEngine() {
        ServiceStats figures = new ServiceStats(config.settings().classes(), counters);
        engine.publishStats(figures);
        engine.start();
        return figures;
    }

    /** The list as the front was started with it, and purges in their place among its changes. */
    private void applyNotices() {
        boolean first = true;
        for (FrontConfig.Notice notice : config.notices()) {
            if (notice.nodes() != null) {
                engine.endpointsChanged(listMode(notice, first), notice.nodes());
                first = false;
            } else {
                engine.objectsPurged(notice.object(), notice.group(), notice.atMs());
            }
        }
    }

    private static EndpointListMode listMode(FrontConfig.Notice notice, boolean first) {
        if (first) {
            return EndpointListMode.CACHED;
        }
        return notice.whole() ? EndpointListMode.FULL : EndpointListMode.DELTA;
    }

    /** Follows the notice board, as soon as one is named, and from then on the configuration's word on where it is. */
    private DiscoveryClient startBoard() {
        DiscoveryClient board =
                new DiscoveryClient(config.board(), config.knownRev(), engine, reload::boardLost, counters);
        if (app.pins()) {
            board.reportContact();
        }
        board.start(crew);
        reload.listen(crew, read -> board.setAddress(read.board()));
        return board;
    }

    private RespServer respFront(ServiceStats figures) {
        List<Long> deadlines =
                settings.requestClasses().stream().map(RequestClass::deadlineUs).toList();
        return new RespServer(
                descriptors.clients(),
                engine,
                pool,
                counters,
                clock,
                config.settings().classes(),
                deadlines,
                ready(warm, engine),
                crew,
                figures,
                metering == null ? ResponseListener.NONE : metering,
                app.pins());
    }

    // Static, so that what is kept for as long as the process runs holds neither the start nor its configuration.

    private static BooleanSupplier ready(AtomicBoolean warm, Engine engine) {
        return () -> warm.get() && engine.hasReadyEndpoint();
    }

    private static void endOnSignal(
            RespServer front, Engine engine, FlowExporter exporter, List<Runnable> sockets, Counters counters) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> Main.end(front, engine, exporter, sockets, counters)));
    }

    private ListeningSocket entrance() throws IOException {
        ListeningSocket entrance =
                config.inherits() ? ListeningSocket.inherited() : ListeningSocket.bind(config.listen());
        if (entrance == null) {
            throw new ConfigException("GW_SOCKET_FD", "a listening socket as descriptor 0");
        }
        return entrance;
    }

    private void startDoor(RespServer front, ServiceStats figures) throws IOException {
        AdminServer admin = new AdminServer(
                config.admin(), new Operators(front, engine, figures, ready(warm, engine)), counters, crew);
        admin.start();
        sockets.add(admin::close);
        System.err.println("magpiewheel: operators at " + admin.address());
    }

    private void startDns() throws IOException {
        DnsServer dns = new DnsServer(
                app.dnsListen(), app.dnsZone(), config.settings().zones(), descriptors.resolvers(), engine, counters);
        dns.start();
        System.err.println("magpiewheel: dns at " + dns.address());
    }

    /** What the admin server reaches. */
    private record Operators(RespServer front, Engine engine, ServiceStats shown, BooleanSupplier ready)
            implements AdminServer.Service {
        @Override
        public boolean serving() {
            return ready.getAsBoolean();
        }

        @Override
        public String stats() {
            return shown.format(front.inFlight());
        }

        @Override
        public void quiesce() {
            front.quiesce();
            engine.stopServing();
        }

        @Override
        public void resume() {
            front.resume();
            engine.startServing();
        }
    }
}
