package magpiewheel;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import magpiewheel.admin.AdminServer;
import magpiewheel.config.AppConfig;
import magpiewheel.config.ConfigException;
import magpiewheel.config.DescriptorShares;
import magpiewheel.config.MemoryBudget;
import magpiewheel.config.Reload;
import magpiewheel.config.RouterConfig;
import magpiewheel.discovery.DiscoveryClient;
import magpiewheel.dns.DnsServer;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.Pause;
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
import magpiewheel.resp.ClientPoller;
import magpiewheel.resp.FairShare;
import magpiewheel.resp.ListeningSocket;
import magpiewheel.resp.RespServer;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RequestRouter;
import magpiewheel.routing.RouterTopology;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.upstream.UpstreamPool;

/**
 * Starts a router: creates its components from the configuration, starts them in order, and reports the router as up
 * after the warm-up. Components that are disabled are null.
 */
final class Startup {
    /** Flow records queued for the exporter, which polls every 50 ms: enough for some 80,000 records per second. */
    private static final int FLOW_RING_SIZE = 4_096;

    private static final double BYTES_PER_KB = 1_000;
    private static final String DNS_LISTEN = "dns.listen";
    /**
     * By then a router has heard of all others, and an older process of its own has not yet missed their heartbeats.
     */
    private static final int HEARTBEATS_TO_LEARN = 5;
    /** With long heartbeats a router answers before it has heard of all others. */
    private static final int MAX_LEARN_MS = 1_000;

    private final Shutdown shutdown;
    private final AppConfig app;
    private final RouterConfig config;
    private final RoutingSettings settings;
    private final Reload reload;
    private final Counters counters;
    private final UnixClock clock;
    private final WorkerPool workers;
    private final ClientPoller poller;
    private final BufferPool requestPool;
    private final BufferPool pool;
    private final DescriptorShares descriptors;
    private final MemoryBudget budget;

    private final PeerTransport peers;
    private final Engine engine;
    private final Metering metering;
    private final FlowExporter exporter;
    /** Whether the warm-up is finished. */
    private final AtomicBoolean warmedUp = new AtomicBoolean();
    /** Actions that close the sockets, those of clients apart, that stay open until the process ends. */
    private final List<Runnable> services = new CopyOnWriteArrayList<>();

    private Startup(Shutdown shutdown, Map<String, String> env, Path appFile) throws IOException {
        this.shutdown = shutdown;
        counters = new Counters();
        reload = new Reload(env, counters);
        // Before any file is read: a SIGHUP without a handler terminates the process.
        reload.handleSignal();
        app = AppConfig.read(appFile);
        config = RouterConfig.read(env);
        clock = UnixClock.monotonic();
        workers = new WorkerPool();
        poller = new ClientPoller(counters);
        descriptors = DescriptorShares.of(config.sockets(), app, RespServer::descriptors);
        budget = memoryBudget();
        settings = config.settings().routing().within(budget.openRequests(), budget.objectRecords());
        requestPool = new BufferPool(budget.requestBuffers(), counters);
        pool = new BufferPool(budget.responseBuffers(), counters);
        // Half of the buffers serve responses in flight, half hold local copies.
        ResponseCache responseCache =
                new ResponseCache(budget.responseBuffers() / 2, config.flowBytesPerS(), config.linkBytesPerS());
        UpstreamPool upstreams = upstreamPool();
        peers = config.peerListen() == null
                ? null
                : new PeerTransport(
                        config.peerListen(), config.peers(), settings.topology().routerId(), counters);
        engine = engine(upstreams, responseCache);
        upstreams.setEngine(engine);
        services.add(upstreams::closeConnections);
        FlowRing ring = app.flows() == null ? null : new FlowRing(FLOW_RING_SIZE);
        metering = ring == null ? null : metering(ring);
        exporter = ring == null ? null : new FlowExporter(exportSettings(), ring, counters);
    }

    /** Starts a router that ends by this shutdown, and returns its server once it is up. */
    static RespServer start(Shutdown shutdown, Map<String, String> env, Path appFile) throws IOException {
        return new Startup(shutdown, env, appFile).run();
    }

    private RespServer run() throws IOException {
        HeapGuard.start(budget.heapBytes());
        startExport();
        ServiceStats stats = startEngine();
        applyNotices();
        DiscoveryClient discovery = startDiscovery();
        if (!succeedsAtResolvers()) {
            startPeers();
        }
        RespServer server = respServer(stats);
        services.add(discovery::close);
        if (peers != null) {
            services.add(peers::close);
        }
        // Before the first client is accepted: requests can be in flight before the warm-up ends.
        DnsServer dns = app.dns() ? dnsServer() : null;
        shutdown.arm(new Shutdown.Parts(
                server, Optional.ofNullable(dns), engine, exporter, services, poller::close, counters));
        ListeningSocket listener = listener();
        if (!listener.isShared()) {
            server.start(listener);
        }
        if (config.admin() != null) {
            startAdminServer(server, stats);
        }
        System.err.println("magpiewheel: " + config.name() + " listens at " + listener.address());
        if (dns != null) {
            openOrCheck(dns);
        }
        WarmUp.run(config, listener.isShared() ? null : server.address(), workers, poller);
        engine.startServing();
        if (succeedsAtResolvers()) {
            succeedAtResolvers(dns);
        }
        if (listener.isShared()) {
            // Not before the warm-up: until then the previous process serves clients better.
            server.start(listener);
        }
        warmedUp.set(true);
        System.err.println("magpiewheel: " + config.name() + " has practised");
        return server;
    }

    /** Whether an older process of this router may answer resolvers at the same address. */
    private boolean succeedsAtResolvers() {
        return app.dns() && config.inheritsListener();
    }

    /**
     * Takes resolvers over from an older process of this router. That one knows which routers run only as long as it
     * receives their heartbeats, so these are taken over last, and this process hears all of them before it answers.
     * Peers hear of it only when it serves: they would name neither process meanwhile.
     */
    private void succeedAtResolvers(DnsServer dns) throws IOException {
        if (peers != null) {
            startPeers();
            Pause.ms(Math.min(MAX_LEARN_MS, HEARTBEATS_TO_LEARN * app.heartbeatMs()));
        }
        openDns(dns);
    }

    private void startPeers() throws IOException {
        if (peers != null) {
            StartRetry.open("peer_listen", config.peerListen(), () -> {
                peers.open();
                return peers;
            });
            peers.start(engine::peerMessageReceived, engine::reachabilityRefused, workers);
        }
    }

    /** Divides the memory of the settings, and logs the division and whether it can be kept. */
    private MemoryBudget memoryBudget() {
        int listed = config.notices().stream()
                .filter(notice -> notice.endpoints() != null)
                .mapToInt(notice -> notice.endpoints().size())
                .max()
                .orElse(0);
        MemoryBudget divided = MemoryBudget.of(
                config.memoryMb(),
                descriptors,
                RespServer.descriptors(descriptors.clients()) - descriptors.clients(),
                app.buffers(),
                Runtime.getRuntime().maxMemory(),
                new MemoryBudget.Deployment(
                        listed, config.peers().size(), app.flows() != null, config.inheritsListener()));
        EventLog.log(EventLog.Event.STATE, "memory=budget limit_mb=" + config.memoryMb() + " " + divided.describe());
        if (!divided.isKept()) {
            System.err.println("magpiewheel: warning: limits.memory_mb=" + config.memoryMb()
                    + " can't be kept: the router needs up to " + divided.neededMb()
                    + " MB with these settings; it serves with the smallest caps");
        }
        return divided;
    }

    private UpstreamPool upstreamPool() {
        return new UpstreamPool(
                pool,
                counters,
                settings.requestClasses(),
                config.connectTimeoutUs(),
                config.settings().idleCloseUs(),
                budget.endpointConnections(),
                workers,
                clock,
                Socket::new);
    }

    private Engine engine(UpstreamPool upstreams, ResponseCache responseCache) {
        MembershipConfig membership = settings.topology()
                .membershipConfig(
                        Ipv4.toInt(config.listen()),
                        app.heartbeatMs() * 1_000L,
                        clock.now() / 1_000,
                        app.reachabilityProbes() && peers != null);
        RegionConfig regions = regions(membership);
        return new Engine(
                settings,
                actions -> new RequestRouter(settings, config.seed(), actions, membership, regions, app.pins()),
                clock,
                counters,
                upstreams,
                peers == null ? (to, message) -> {} : peers,
                responseCache);
    }

    /**
     * Returns the region settings, or null if regions are disabled or, with a log line, if their requirements are not
     * met.
     */
    private RegionConfig regions(MembershipConfig membership) {
        RegionConfig regions = app.regions() && peers != null
                ? settings.regionConfig(membership.startedMs(), app.originTransfers())
                : null;
        if (app.regions() && regions == null) {
            System.err.println(
                    "magpiewheel: regions disabled: fleet.regions needs peers, parents and branches attached to a hub");
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
        RouterTopology topology = settings.topology();
        double linkBytesPerS = topology.zone() < topology.linkKbPerSByZone().length
                ? topology.linkKbPerSByZone()[topology.zone()] * BYTES_PER_KB
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
                topology.zone(),
                linkBytesPerS / topology.routersIn(topology.zone()),
                config.seed());
    }

    private void startExport() {
        if (exporter != null) {
            engine.setAttemptListener(metering);
            exporter.start();
        }
    }

    private ServiceStats startEngine() {
        ServiceStats stats = new ServiceStats(config.settings().classes(), counters);
        engine.publishStats(stats);
        engine.start();
        return stats;
    }

    /** Applies the endpoint lists and purges of the configuration in their order. */
    private void applyNotices() {
        boolean first = true;
        for (RouterConfig.Notice notice : config.notices()) {
            if (notice.endpoints() != null) {
                engine.endpointsChanged(listMode(notice, first), notice.endpoints());
                first = false;
            } else {
                engine.objectsPurged(notice.object(), notice.group(), notice.atMs());
            }
        }
    }

    private static EndpointListMode listMode(RouterConfig.Notice notice, boolean first) {
        if (first) {
            return EndpointListMode.CACHED;
        }
        return notice.fullList() ? EndpointListMode.FULL : EndpointListMode.DELTA;
    }

    /** Starts the discovery client, which connects once the configuration names an address and follows its changes. */
    private DiscoveryClient startDiscovery() {
        DiscoveryClient discovery = new DiscoveryClient(
                config.discoveryServer(), config.knownRevision(), engine, reload::discoveryLost, counters);
        discovery.start(workers);
        reload.listen(workers, read -> discovery.setAddress(read.discoveryServer()));
        return discovery;
    }

    private RespServer respServer(ServiceStats stats) {
        List<Long> deadlines =
                settings.requestClasses().stream().map(RequestClass::deadlineUs).toList();
        RespServer server = new RespServer(
                budget.clients(),
                new FairShare(budget.endpointConnections(), engine::inFlight),
                engine,
                requestPool,
                counters,
                clock,
                config.settings().classes(),
                deadlines,
                ready(warmedUp, engine),
                workers,
                poller,
                stats,
                metering == null ? ResponseListener.NONE : metering,
                app.pins());
        pool.setShortageListener(server::reclaimResponseBuffers);
        return server;
    }

    // Static, so that objects that live as long as the process keep no reference to this object or its configuration.

    private static BooleanSupplier ready(AtomicBoolean warmedUp, Engine engine) {
        return () -> warmedUp.get() && engine.hasReadyEndpoint();
    }

    private ListeningSocket listener() throws IOException {
        ListeningSocket listener = StartRetry.open(
                "listen",
                config.listen(),
                () -> config.inheritsListener() ? ListeningSocket.inherited() : ListeningSocket.bind(config.listen()));
        if (listener == null) {
            throw new ConfigException("GW_SOCKET_FD", "a listening socket as descriptor 0");
        }
        return listener;
    }

    private void startAdminServer(RespServer server, ServiceStats stats) throws IOException {
        AdminService service = new AdminService(server, engine, stats, ready(warmedUp, engine));
        AdminServer admin = StartRetry.open(
                "mgmt", config.admin(), () -> new AdminServer(config.admin(), service, counters, workers));
        admin.start();
        services.add(admin::close);
        System.err.println("magpiewheel: operators at " + admin.address());
    }

    private DnsServer dnsServer() {
        DnsServer.Settings dnsSettings = new DnsServer.Settings(
                app.dnsListen(),
                app.dnsZone(),
                config.settings().zones(),
                budget.resolvers(),
                config.inheritsListener());
        return new DnsServer(dnsSettings, engine, counters);
    }

    /** Opens the DNS server, or checks that it can be opened later, when an older process is succeeded. */
    private void openOrCheck(DnsServer dns) throws IOException {
        if (!succeedsAtResolvers()) {
            openDns(dns);
            return;
        }
        StartRetry.open(DNS_LISTEN, app.dnsListen(), () -> {
            dns.requireAvailable();
            return dns;
        });
    }

    private void openDns(DnsServer dns) throws IOException {
        StartRetry.open(DNS_LISTEN, app.dnsListen(), () -> {
            dns.open();
            return dns;
        });
        System.err.println("magpiewheel: dns at " + dns.address());
    }

    /** The operations of the admin server. */
    private record AdminService(RespServer server, Engine engine, ServiceStats serviceStats, BooleanSupplier ready)
            implements AdminServer.Service {
        @Override
        public boolean serving() {
            return ready.getAsBoolean();
        }

        @Override
        public String stats() {
            return serviceStats.format(server.inFlight());
        }

        @Override
        public void quiesce() {
            server.quiesce();
            engine.stopServing();
        }

        @Override
        public void resume() {
            server.resume();
            engine.startServing();
        }
    }
}
