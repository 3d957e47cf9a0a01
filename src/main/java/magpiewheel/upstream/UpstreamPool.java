package magpiewheel.upstream;

import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import magpiewheel.engine.Attempt;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.Upstream;
import magpiewheel.engine.WorkerPool;
import magpiewheel.routing.EndpointState;
import magpiewheel.routing.RequestClass;

/**
 * The endpoints of the endpoint list, each with its actor. Endpoints are identified by id, as a new endpoint may take
 * over the address of a removed one. Used only on the engine's actor, but for {@link #excludeUnready} and
 * {@link #closeConnections}.
 */
public final class UpstreamPool implements Upstream {
    /**
     * What the endpoints share: among others the buffer pool, the counters, which request classes write, how many more
     * connections may be opened, and the ids of the ready endpoints. Endpoints that are draining or removed get no
     * request and are no fill source from the moment in which the list says so.
     */
    record Shared(
            Engine[] engine,
            BufferPool bufferPool,
            Counters counters,
            boolean[] writeClasses,
            int dialTimeoutMs,
            AtomicInteger freeConnections,
            KeepAlivePolicy keepAlive,
            WorkerPool workers,
            Supplier<Socket> socketFactory,
            UnixClock clock,
            Set<Long> readyEndpoints,
            OpenConnections openConnections,
            ServerIdentity serverIdentity) {}

    private final Map<Long, UpstreamEndpoint> endpoints = new HashMap<>();
    private final Shared shared;

    /**
     * Creates a pool without endpoints. It opens at most {@code maxConnections} connections to all endpoints together,
     * on sockets from {@code socketFactory}; endpoints close a connection after it was idle for {@code idleCloseUs} (0
     * if unknown).
     */
    public UpstreamPool(
            BufferPool bufferPool,
            Counters counters,
            List<RequestClass> classes,
            long dialTimeoutUs,
            long idleCloseUs,
            int maxConnections,
            WorkerPool workers,
            UnixClock clock,
            Supplier<Socket> socketFactory) {
        boolean[] writeClasses = new boolean[classes.size()];
        for (int i = 0; i < writeClasses.length; i++) {
            writeClasses[i] = classes.get(i).write();
        }
        shared = new Shared(
                new Engine[1],
                bufferPool,
                counters,
                writeClasses,
                (int) Math.max(1, dialTimeoutUs / 1000),
                new AtomicInteger(maxConnections),
                new KeepAlivePolicy(idleCloseUs, maxConnections),
                workers,
                socketFactory,
                clock,
                ConcurrentHashMap.newKeySet(),
                new OpenConnections(),
                new ServerIdentity());
    }

    /** Sets the engine that receives outcomes; must be called before any other method. */
    public void setEngine(Engine engine) {
        shared.engine()[0] = engine;
    }

    /**
     * Closes all connections on the calling thread, whatever they carry; for the end of the process, when every request
     * is answered. Any thread may call it.
     */
    public void closeConnections() {
        shared.openConnections().closeAll();
    }

    @Override
    public void listCurrentAsOf(long atUs) {
        shared.serverIdentity().listCurrentAsOf(atUs);
    }

    @Override
    public void excludeUnready(List<ListedEndpoint> list, boolean complete) {
        if (complete) {
            shared.readyEndpoints()
                    .retainAll(list.stream().map(each -> each.info().id()).collect(Collectors.toSet()));
        }
        list.stream()
                .filter(each -> each.info().state() != EndpointState.READY)
                .forEach(each -> shared.readyEndpoints().remove(each.info().id()));
    }

    @Override
    public void endpointsChanged(List<ListedEndpoint> list, boolean complete) {
        Map<Long, ListedEndpoint> listedById = new HashMap<>();
        list.forEach(endpoint -> listedById.put(endpoint.info().id(), endpoint));
        excludeUnready(list, complete);
        list.stream()
                .filter(each -> each.info().state() == EndpointState.READY)
                .forEach(each -> shared.readyEndpoints().add(each.info().id()));
        endpoints.entrySet().removeIf(entry -> {
            ListedEndpoint listed = listedById.get(entry.getKey());
            boolean gone = listed == null ? complete : listed.info().state() == EndpointState.REMOVED;
            if (gone) {
                entry.getValue().retire();
            }
            return gone;
        });
        for (ListedEndpoint listed : list) {
            if (listed.info().state() == EndpointState.REMOVED) {
                continue;
            }
            UpstreamEndpoint previous = endpoints.get(listed.info().id());
            if (previous != null && previous.isSameProcess(listed)) {
                continue;
            }
            if (previous != null) {
                previous.retire();
            }
            UpstreamEndpoint endpoint = new UpstreamEndpoint(listed, shared);
            endpoints.put(listed.info().id(), endpoint);
            endpoint.start(shared.workers());
        }
    }

    @Override
    public boolean send(Attempt attempt) {
        UpstreamEndpoint endpoint = endpoints.get(attempt.endpointId());
        if (endpoint == null || !endpoint.send(attempt)) {
            return false;
        }
        attempt.upstreamContext(endpoint);
        return true;
    }

    @Override
    public void cancel(Attempt attempt) {
        // Not looked up in the list: the endpoint may have left it, and its requests in flight must end as well.
        if (attempt.upstreamContext() instanceof UpstreamEndpoint endpoint) {
            endpoint.cancel(attempt);
        }
    }
}
