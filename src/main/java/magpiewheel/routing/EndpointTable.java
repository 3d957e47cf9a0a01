package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The endpoints listed by discovery, and the ready ones by tier. */
final class EndpointTable {
    private final RouterTopology topology;
    private final long overloadWindowUs;
    private final TreeMap<Long, Endpoint> endpoints = new TreeMap<>();
    private final List<Endpoint> caches = new ArrayList<>();
    private final List<Endpoint> parents = new ArrayList<>();
    private final List<Endpoint> origins = new ArrayList<>();

    /** Creates an empty table; work sent to an endpoint is summed over the overload window. */
    EndpointTable(RouterTopology topology, long overloadWindowUs) {
        this.topology = topology;
        this.overloadWindowUs = overloadWindowUs;
    }

    /** Applies a list from discovery: a change, or a complete list that replaces the previous one. */
    void update(long now, EndpointListMode mode, List<EndpointInfo> infos) {
        if (mode != EndpointListMode.DELTA) {
            endpoints.values().forEach(endpoint -> endpoint.state = EndpointState.REMOVED);
        }
        infos.forEach(this::update);
        // An endpoint that returns within the overload window still carries the work it was sent before.
        endpoints.values().removeIf(endpoint -> endpoint.state == EndpointState.REMOVED && endpoint.isIdle(now));
        rebuildTier(caches, endpoint -> endpoint.isCacheOf(topology.zone()));
        rebuildTier(parents, Endpoint::isParent);
        rebuildTier(origins, Endpoint::isOrigin);
    }

    private void update(EndpointInfo info) {
        Endpoint endpoint = endpoints.computeIfAbsent(info.id(), id -> new Endpoint(id, overloadWindowUs));
        if (endpoint.info == null || endpoint.info.startedUs() != info.startedUs()) {
            endpoint.restarted(ConcurrencyLimiter.INITIAL_LIMIT);
        }
        endpoint.update(info, topology);
    }

    private void rebuildTier(List<Endpoint> tier, Predicate<Endpoint> isMember) {
        tier.clear();
        endpoints.values().stream().filter(Endpoint::isReady).filter(isMember).forEach(tier::add);
    }

    /** Returns the endpoint with an id, or null. */
    Endpoint get(long id) {
        return endpoints.get(id);
    }

    /** Returns all endpoints by id, including draining ones and removed ones that are not idle yet. */
    Map<Long, Endpoint> byId() {
        return Collections.unmodifiableMap(endpoints);
    }

    /** Returns all endpoints in the order of their ids. */
    Collection<Endpoint> all() {
        return Collections.unmodifiableCollection(endpoints.values());
    }

    /** Returns the ready caches of this router's zone. */
    List<Endpoint> caches() {
        return caches;
    }

    /** Returns the ready parents. */
    List<Endpoint> parents() {
        return parents;
    }

    /** Returns the ready origin, or null where there is none. */
    Endpoint origin() {
        return origins.isEmpty() ? null : origins.get(0);
    }

    /** Whether an endpoint is a ready origin. */
    boolean isReadyOrigin(Endpoint endpoint) {
        return origins.contains(endpoint);
    }

    /** Returns the ready endpoints of the tier that an endpoint belongs to. */
    List<Endpoint> tierOf(Endpoint endpoint) {
        return endpoint.isParent() ? parents : endpoint.isCache() ? caches : origins;
    }

    /** Counts the endpoints that get no new requests now because they are draining or ejected. */
    int countAvoided(long now) {
        return (int) endpoints.values().stream()
                .filter(endpoint -> endpoint.isAvoided(now))
                .count();
    }
}
