package magpiewheel.upstream;

import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
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
 * The nodes of the list, each with its actor. A node is its id: a successor may come under the address of one that has
 * gone. Used on the module's actor alone.
 */
public final class UpstreamPool implements Upstream {
    /**
     * What the nodes share: pool, counters, which classes write, the room for connections, and which nodes are ready:
     * those that drain or have left get nothing from the moment in which that is told, nor are they a source.
     */
    record Shared(
            Engine[] engine,
            BufferPool pool,
            Counters counters,
            boolean[] writes,
            int dialTimeoutMs,
            AtomicInteger room,
            KeepAlivePolicy keeping,
            WorkerPool crew,
            Supplier<Socket> sockets,
            UnixClock clock,
            Set<Long> ready) {}

    private final Map<Long, UpstreamEndpoint> nodes = new HashMap<>();
    private final Shared shared;

    /**
     * Talks to nodes over at most so many connections, each on a socket of this kind; nodes close unused ones after a
     * time.
     */
    public UpstreamPool(
            BufferPool pool,
            Counters counters,
            List<RequestClass> classes,
            long dialTimeoutUs,
            long idleCloseUs,
            int connections,
            WorkerPool crew,
            UnixClock clock,
            Supplier<Socket> sockets) {
        boolean[] writes = new boolean[classes.size()];
        for (int i = 0; i < writes.length; i++) {
            writes[i] = classes.get(i).write();
        }
        shared = new Shared(
                new Engine[1],
                pool,
                counters,
                writes,
                (int) Math.max(1, dialTimeoutUs / 1000),
                new AtomicInteger(connections),
                new KeepAlivePolicy(idleCloseUs, connections),
                crew,
                sockets,
                clock,
                ConcurrentHashMap.newKeySet());
    }

    /** Names the engine that outcomes go to; before anything else. */
    public void report(Engine engine) {
        shared.engine()[0] = engine;
    }

    @Override
    public void endpointsChanged(List<ListedEndpoint> list, boolean whole) {
        Map<Long, ListedEndpoint> now = new HashMap<>();
        list.forEach(node -> now.put(node.info().id(), node));
        if (whole) {
            shared.ready().retainAll(now.keySet());
        }
        ready(list);
        nodes.entrySet().removeIf(entry -> {
            ListedEndpoint listed = now.get(entry.getKey());
            boolean gone = listed == null ? whole : listed.info().state() == EndpointState.REMOVED;
            if (gone) {
                entry.getValue().retire();
            }
            return gone;
        });
        for (ListedEndpoint listed : list) {
            if (listed.info().state() == EndpointState.REMOVED) {
                continue;
            }
            UpstreamEndpoint old = nodes.get(listed.info().id());
            if (old != null && old.isAt(listed)) {
                continue;
            }
            if (old != null) {
                old.retire();
            }
            UpstreamEndpoint node = new UpstreamEndpoint(listed, shared);
            nodes.put(listed.info().id(), node);
            node.start(shared.crew());
        }
    }

    private void ready(List<ListedEndpoint> list) {
        for (ListedEndpoint listed : list) {
            if (listed.info().state() == EndpointState.READY) {
                shared.ready().add(listed.info().id());
            } else {
                shared.ready().remove(listed.info().id());
            }
        }
    }

    @Override
    public boolean send(Attempt attempt) {
        UpstreamEndpoint node = nodes.get(attempt.endpointId());
        if (node == null || !node.send(attempt)) {
            return false;
        }
        attempt.upstreamContext(node);
        return true;
    }

    @Override
    public void cancel(Attempt attempt) {
        // Not by the list: the node may have left it, and what it has in hand must end all the same.
        if (attempt.upstreamContext() instanceof UpstreamEndpoint node) {
            node.cancel(attempt);
        }
    }
}
