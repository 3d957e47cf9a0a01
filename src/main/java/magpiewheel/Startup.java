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
import magpiewheel.board.NoticeBoard;
import magpiewheel.config.AppConfig;
import magpiewheel.config.ConfigException;
import magpiewheel.config.DescriptorShares;
import magpiewheel.config.FrontConfig;
import magpiewheel.config.Reload;
import magpiewheel.core.AnswerWatch;
import magpiewheel.core.BufferPool;
import magpiewheel.core.Counters;
import magpiewheel.core.Crew;
import magpiewheel.core.Engine;
import magpiewheel.core.Figures;
import magpiewheel.core.Ipv4;
import magpiewheel.core.OwnCopies;
import magpiewheel.core.UnixClock;
import magpiewheel.dns.DnsFront;
import magpiewheel.flows.FlowExporter;
import magpiewheel.flows.Metering;
import magpiewheel.membership.Setup;
import magpiewheel.module.Director;
import magpiewheel.module.Rules;
import magpiewheel.nodes.CacheNodes;
import magpiewheel.peers.PeerLink;
import magpiewheel.records.FlowRing;
import magpiewheel.region.RegionSetup;
import magpiewheel.resp.Entrance;
import magpiewheel.resp.RespFront;

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
    private final Director.Settings settings;
    private final Reload reload;
    private final Counters counters;
    private final UnixClock clock;
    private final Crew crew;
    private final BufferPool pool;
    private final DescriptorShares descriptors;

    private final PeerLink peers;
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
        clock = app.pins() ? UnixClock.even() : new UnixClock();
        crew = new Crew();
        // Half of the buffers for what is under way, half for copies of the front's own; with little memory, fewer.
        int buffers = (int) Math.min(app.buffers(), Runtime.getRuntime().maxMemory() / BUFFERS_PART / BufferPool.SIZE);
        pool = new BufferPool(buffers, counters);
        OwnCopies copies = new OwnCopies(buffers / 2, config.flowBytesPerS(), config.linkBytesPerS());
        descriptors = DescriptorShares.of(config.sockets(), app, RespFront::descriptors);
        CacheNodes nodes = cacheNodes();
        peers = config.peerListen() == null
                ? null
                : new PeerLink(
                        config.peerListen(), config.peers(), settings.place().me(), counters);
        engine = engine(nodes, copies);
        nodes.report(engine);
        FlowRing ring = app.flows() == null ? null : new FlowRing(FLOWS_ON_THE_WAY);
        metering = ring == null ? null : metering(ring);
        exporter = ring == null ? null : new FlowExporter(exportSettings(), ring, counters);
    }

    /** Starts a front and returns it once it is up. */
    static RespFront start(Map<String, String> env, Path appFile) throws IOException {
        return new Startup(env, appFile).run();
    }

    private RespFront run() throws IOException {
        startExport();
        Figures figures = startEngine();
        applyNotices();
        NoticeBoard board = startBoard();
        if (peers != null) {
            peers.start(engine::heard, engine::refused, crew);
        }
        RespFront front = respFront(figures);
        sockets.add(board::end);
        if (peers != null) {
            sockets.add(peers::close);
        }
        // From the first client on: one that ends before it is warm has requests in hand, too.
        endOnSignal(front, engine, exporter, sockets, counters);
        Entrance entrance = entrance();
        if (!entrance.handedOn()) {
            front.start(entrance);
        }
        if (config.admin() != null) {
            startDoor(front, figures);
        }
        System.err.println("magpiewheel: " + config.name() + " listens at " + entrance.address());
        if (app.dns()) {
            startDns();
        }
        Practice.run(config, entrance.handedOn() ? null : front.address(), crew);
        if (entrance.handedOn()) {
            // Only now: until then the process before this one serves them better.
            front.start(entrance);
        }
        warm.set(true);
        System.err.println("magpiewheel: " + config.name() + " has practised");
        engine.announce();
        return front;
    }

    private CacheNodes cacheNodes() {
        return new CacheNodes(
                pool,
                counters,
                settings.profiles(),
                config.dialTimeoutUs(),
                config.settings().idleCloseUs(),
                descriptors.nodeConnections(),
                crew,
                clock,
                Socket::new);
    }

    private Engine engine(CacheNodes nodes, OwnCopies copies) {
        Setup setup = settings.place()
                .setup(
                        Ipv4.number(config.listen()),
                        app.beatMs() * 1_000L,
                        clock.now() / 1_000,
                        app.refusals() && peers != null);
        RegionSetup regions = regions(setup);
        return new Engine(
                settings,
                actions -> new Rules(settings, config.seed(), actions, setup, regions, app.pins()),
                clock,
                counters,
                nodes,
                peers == null ? (to, message) -> {} : peers,
                copies);
    }

    /** What a front is told of regions; null where they are off, or can't be on, which is said. */
    private RegionSetup regions(Setup setup) {
        RegionSetup regions =
                app.regions() && peers != null ? settings.regions(setup.startedMs(), app.originTransfers()) : null;
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
                settings.place(),
                Ipv4.number(config.listen()),
                config.listen().getPort());
    }

    private FlowExporter.Settings exportSettings() {
        AppConfig.Flows flows = app.flows();
        Director.Place place = settings.place();
        double link = place.zone() < place.linkKbPerS().length ? place.linkKbPerS()[place.zone()] * OCTETS_A_KB : 0;
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
                link / place.directorsIn(place.zone()),
                config.seed());
    }

    private void startExport() {
        if (exporter != null) {
            engine.watch(metering);
            exporter.start();
        }
    }

    private Figures startEngine() {
        Figures figures = new Figures(config.settings().classes(), counters);
        engine.show(figures);
        engine.start();
        return figures;
    }

    /** The list as the front was started with it, and purges in their place among its changes. */
    private void applyNotices() {
        boolean first = true;
        for (FrontConfig.Notice notice : config.notices()) {
            if (notice.nodes() != null) {
                engine.members(listMode(notice, first), notice.nodes());
                first = false;
            } else {
                engine.purged(notice.object(), notice.group(), notice.atMs());
            }
        }
    }

    private static Director.ListMode listMode(FrontConfig.Notice notice, boolean first) {
        if (first) {
            return Director.ListMode.CACHED;
        }
        return notice.whole() ? Director.ListMode.FULL : Director.ListMode.DELTA;
    }

    /** Follows the notice board, as soon as one is named, and from then on the configuration's word on where it is. */
    private NoticeBoard startBoard() {
        NoticeBoard board = new NoticeBoard(config.board(), config.knownRev(), engine, reload::boardLost, counters);
        if (app.pins()) {
            board.tellsWhenHeard();
        }
        board.start(crew);
        reload.listen(crew, read -> board.moved(read.board()));
        return board;
    }

    private RespFront respFront(Figures figures) {
        List<Long> deadlines =
                settings.profiles().stream().map(Director.Profile::deadlineUs).toList();
        return new RespFront(
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
                metering == null ? AnswerWatch.NONE : metering,
                app.pins());
    }

    // Static, so that what is kept for as long as the process runs holds neither the start nor its configuration.

    private static BooleanSupplier ready(AtomicBoolean warm, Engine engine) {
        return () -> warm.get() && engine.ready();
    }

    private static void endOnSignal(
            RespFront front, Engine engine, FlowExporter exporter, List<Runnable> sockets, Counters counters) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> Main.end(front, engine, exporter, sockets, counters)));
    }

    private Entrance entrance() throws IOException {
        Entrance entrance = config.inherits() ? Entrance.inherited() : Entrance.bind(config.listen());
        if (entrance == null) {
            throw new ConfigException("GW_SOCKET_FD", "a listening socket as descriptor 0");
        }
        return entrance;
    }

    private void startDoor(RespFront front, Figures figures) throws IOException {
        AdminServer admin = new AdminServer(
                config.admin(), new Operators(front, engine, figures, ready(warm, engine)), counters, crew);
        admin.start();
        sockets.add(admin::close);
        System.err.println("magpiewheel: operators at " + admin.address());
    }

    private void startDns() throws IOException {
        DnsFront dns = new DnsFront(
                app.dnsListen(), app.dnsZone(), config.settings().zones(), descriptors.resolvers(), engine, counters);
        dns.start();
        System.err.println("magpiewheel: dns at " + dns.address());
    }

    /** What the admin server reaches. */
    private record Operators(RespFront front, Engine engine, Figures shown, BooleanSupplier ready)
            implements AdminServer.Service {
        @Override
        public boolean serving() {
            return ready.getAsBoolean();
        }

        @Override
        public String figures() {
            return shown.text(front.inFlight());
        }

        @Override
        public void quiesce() {
            front.quiesce();
            engine.leave();
        }

        @Override
        public void resume() {
            front.resume();
            engine.announce();
        }
    }
}
