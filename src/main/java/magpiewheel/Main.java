package magpiewheel;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import magpiewheel.adapter.Adapter;
import magpiewheel.board.NoticeBoard;
import magpiewheel.collector.FlowsTool;
import magpiewheel.config.AppConfig;
import magpiewheel.config.ConfigException;
import magpiewheel.config.ConfigTool;
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
import magpiewheel.door.OperatorsDoor;
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

/** Wires the program's parts together. */
public final class Main {
    private static final String USAGE =
            "usage: magpiewheel.jar serve | adapter | config write APP | config check FILE\n"
                    + "       magpiewheel.jar flows collect ADDRESS";
    private static final String APP_FILE = "deploy/dns.json";
    /**
     * ms; after SIGTERM clients still come for so long, and only then leave is taken of those who are there: new
     * connections come for 0.4 s and requests on them for 0.2 s more, and an end that crosses a request costs a second
     * try. The rest is for a machine that is late.
     */
    private static final long ACCEPT_AFTER_TERM_MS = 800;

    private static final long LONGEST_DEADLINE_MS = 7_000;
    /** us; a process may be killed 3.7 s after SIGTERM: what it takes after that signal is answered before. */
    private static final long ANSWERS_AFTER_TERM_US = 3_400_000;
    /**
     * ms; by then all that was taken is answered: who is still in the middle of a request does not hold the process up.
     */
    private static final long LAST_LEAVE_MS = 3_500;

    private static final int BAD_CALL = 2;
    /** The buffers take at most one part in so many of the heap. */
    private static final int BUFFERS_PART = 2;

    /** Flows between their threads and the exporter, which looks every 50 ms: some 80,000 a second. */
    private static final int FLOWS_ON_THE_WAY = 4_096;

    private static final long FLOWS_LAST_MS = 300;
    private static final double OCTETS_A_KB = 1_000;

    /** What the process ends with; a planned end counts as none. */
    private static volatile int exitCode;

    private Main() {}

    /** Runs what the first word names; exit code 2 at a wrong call or configuration. */
    public static void main(String[] args) {
        String verb = args.length > 0 ? args[0] : "";
        try {
            switch (verb) {
                case "serve" -> {
                    start(System.getenv(), Path.of(System.getenv().getOrDefault("MAGPIEWHEEL_APP", APP_FILE)));
                    Thread.currentThread().join();
                }
                case "train" -> train();
                case "adapter" -> Adapter.main(args);
                case "config" -> System.exit(ConfigTool.run(args));
                case "flows" -> System.exit(FlowsTool.run(Arrays.copyOfRange(args, 1, args.length)));
                default -> exit(USAGE);
            }
        } catch (ConfigException e) {
            exit("magpiewheel: " + e.getMessage());
        } catch (IOException | InterruptedException e) {
            System.err.println("magpiewheel: " + e.getMessage());
            exitCode = 1;
            System.exit(exitCode);
        }
    }

    private static void exit(String line) {
        System.err.println(line);
        exitCode = BAD_CALL;
        System.exit(exitCode);
    }

    /** Run by the build: loads what a front needs, so that the class archive holds it and restarts are short. */
    private static void train() throws IOException {
        RespFront front = start(Map.of("GW_CONFIG", "deploy/train.json"), Path.of(APP_FILE));
        try (Socket client =
                new Socket(front.address().getAddress(), front.address().getPort())) {
            client.setSoTimeout((int) LONGEST_DEADLINE_MS);
            client.getOutputStream()
                    .write(("*4\r\n$3\r\nASK\r\n$1\r\n1\r\n$1\r\nv\r\n$44\r\n"
                                    + "trace=0000000000000001,patience=500,entity=1\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().read();
        }
        System.exit(0);
    }

    private static RespFront start(Map<String, String> env, Path appFile) throws IOException {
        Counters counters = new Counters();
        Reload reload = new Reload(env, counters);
        reload.hearSignal();
        AppConfig app = AppConfig.read(appFile);
        FrontConfig config = FrontConfig.read(env);
        Director.Settings settings = config.settings().module();
        UnixClock clock = app.pins() ? UnixClock.even() : new UnixClock();
        Crew crew = new Crew();
        // Half of the buffers for what is under way, half for copies of the front's own; with little memory, fewer.
        int buffers = (int) Math.min(app.buffers(), Runtime.getRuntime().maxMemory() / BUFFERS_PART / BufferPool.SIZE);
        BufferPool pool = new BufferPool(buffers, counters);
        OwnCopies copies = new OwnCopies(buffers / 2, config.flowBytesPerS(), config.linkBytesPerS());
        DescriptorShares descriptors = DescriptorShares.of(config.sockets(), app, RespFront::descriptors);
        CacheNodes nodes = new CacheNodes(
                pool,
                counters,
                settings.profiles(),
                config.dialTimeoutUs(),
                config.settings().idleCloseUs(),
                descriptors.nodeConnections(),
                crew,
                clock,
                Socket::new);
        PeerLink peers = config.peerListen() == null
                ? null
                : new PeerLink(
                        config.peerListen(), config.peers(), settings.place().me(), counters);
        Setup setup = settings.place()
                .setup(
                        Ipv4.number(config.listen()),
                        app.beatMs() * 1_000L,
                        clock.now() / 1_000,
                        app.refusals() && peers != null);
        RegionSetup regions =
                app.regions() && peers != null ? settings.regions(setup.startedMs(), app.originTransfers()) : null;
        if (app.regions() && regions == null) {
            System.err.println(
                    "magpiewheel: fleet.regions needs peers, parents and branches that are attached to a hub: off");
        }
        Engine engine = new Engine(
                settings,
                actions -> new Rules(settings, config.seed(), actions, setup, regions, app.pins()),
                clock,
                counters,
                nodes,
                peers == null ? (to, message) -> {} : peers,
                copies);
        nodes.report(engine);
        FlowRing ring = app.flows() == null ? null : new FlowRing(FLOWS_ON_THE_WAY);
        Metering metering = ring == null
                ? null
                : new Metering(
                        ring,
                        clock,
                        settings.place(),
                        Ipv4.number(config.listen()),
                        config.listen().getPort());
        FlowExporter exporter = ring == null ? null : new FlowExporter(exported(app.flows(), config), ring, counters);
        if (exporter != null) {
            engine.watch(metering);
            exporter.start();
        }
        Figures figures = new Figures(config.settings().classes(), counters);
        engine.show(figures);
        engine.start();
        boolean first = true;
        for (FrontConfig.Notice notice : config.notices()) {
            if (notice.nodes() != null) {
                engine.members(
                        first
                                ? Director.ListMode.CACHED
                                : notice.whole() ? Director.ListMode.FULL : Director.ListMode.DELTA,
                        notice.nodes());
                first = false;
            } else {
                engine.purged(notice.object(), notice.group(), notice.atMs());
            }
        }
        NoticeBoard board = new NoticeBoard(config.board(), config.knownRev(), engine, reload::boardLost, counters);
        if (app.pins()) {
            board.tellsWhenHeard();
        }
        board.start(crew);
        reload.listen(crew, read -> board.moved(read.board()));
        if (peers != null) {
            peers.start(engine::heard, engine::refused, crew);
        }
        List<Long> deadlines =
                settings.profiles().stream().map(Director.Profile::deadlineUs).toList();
        AtomicBoolean warm = new AtomicBoolean();
        RespFront front = new RespFront(
                descriptors.clients(),
                engine,
                pool,
                counters,
                clock,
                config.settings().classes(),
                deadlines,
                () -> warm.get() && engine.ready(),
                crew,
                figures,
                metering == null ? AnswerWatch.NONE : metering,
                app.pins());
        List<Runnable> sockets = new CopyOnWriteArrayList<>();
        sockets.add(board::end);
        if (peers != null) {
            sockets.add(peers::close);
        }
        // From the first client on: one that ends before it is warm has requests in hand, too.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(front, engine, exporter, sockets, counters)));
        Entrance entrance = config.inherits() ? Entrance.inherited() : Entrance.bind(config.listen());
        if (entrance == null) {
            throw new ConfigException("GW_SOCKET_FD", "a listening socket as descriptor 0");
        }
        if (!entrance.handedOn()) {
            front.start(entrance);
        }
        OperatorsDoor door = config.door() == null
                ? null
                : new OperatorsDoor(
                        config.door(),
                        new Operators(front, engine, figures, () -> warm.get() && engine.ready()),
                        counters,
                        crew);
        if (door != null) {
            door.start();
            sockets.add(door::close);
            System.err.println("magpiewheel: operators at " + door.address());
        }
        System.err.println("magpiewheel: " + config.name() + " listens at " + entrance.address());
        if (app.dns()) {
            DnsFront dns = new DnsFront(
                    app.dnsListen(), app.dnsZone(), config.settings().zones(), engine, counters);
            dns.start();
            System.err.println("magpiewheel: dns at " + dns.address());
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

    private static FlowExporter.Settings exported(AppConfig.Flows flows, FrontConfig config) {
        Director.Place place = config.settings().module().place();
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

    /** SIGTERM: clients still come for a moment, and what they asked for is finished. */
    private static void end(
            RespFront front, Engine engine, FlowExporter exporter, List<Runnable> sockets, Counters counters) {
        if (exitCode != 0) {
            // It never came to serve: the end must not look like a planned one.
            Runtime.getRuntime().halt(exitCode);
        }
        long from = System.nanoTime();
        engine.leave();
        front.answerWithin(ANSWERS_AFTER_TERM_US);
        try {
            if (front.handedOn()) {
                // The next process has the entrance, so clients are sent there.
                front.close();
            }
            Thread.sleep(ACCEPT_AFTER_TERM_MS);
            front.close();
            // A request that is read is answered, so connections end before the process does.
            for (long ms = 0;
                    ms < LONGEST_DEADLINE_MS
                            && (engine.open() > 0 || front.busy() || front.hasClients() && ms < LAST_LEAVE_MS);
                    ms = (System.nanoTime() - from) / 1_000_000) {
                Thread.sleep(10);
            }
            if (exporter != null) {
                exporter.end(FLOWS_LAST_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Halting waits 0.3 s for threads that are inside a socket.
        engine.end(List.of());
        sockets.forEach(Runnable::run);
        System.err.println("magpiewheel: counters " + counters);
        Runtime.getRuntime().halt(0);
    }

    /** What the door for operators reaches. */
    private record Operators(RespFront front, Engine engine, Figures shown, BooleanSupplier ready)
            implements OperatorsDoor.Service {
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
