package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The endpoints that discovery has named, and those of them that are ready, by tier. */
final class EndpointTable {
    private final RouterTopology topology;
    private final long overloadWindowUs;
    private final TreeMap<Long, Endpoint> endpoints = new TreeMap<>();
    private final List<Endpoint> caches = new ArrayList<>();
    private final List<Endpoint> parents = new ArrayList<>();
    private final List<Endpoint> origins = new ArrayList<>();

    /** An empty table; work sent to an endpoint is remembered for the overload window. */
    EndpointTable(RouterTopology topology, long overloadWindowUs) {
        this.topology = topology;
        this.overloadWindowUs = overloadWindowUs;
    }

    /** Takes a list of discovery in: a change, or a complete list that replaces what was there. */
    void update(long now, EndpointListMode mode, List<EndpointInfo> infos) {
        if (mode != EndpointListMode.DELTA) {
            endpoints.values().forEach(endpoint -> endpoint.state = EndpointState.REMOVED);
        }
        infos.forEach(this::update);
        // One that returns within the overload window still bears what it was sent before.
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

    /** The endpoint of an id, or null. */
    Endpoint get(long id) {
        return endpoints.get(id);
    }

    /** All endpoints by id, also those that drain or were removed with something still in flight. */
    Map<Long, Endpoint> byId() {
        return Collections.unmodifiableMap(endpoints);
    }

    /** All endpoints in the order of their ids. */
    Collection<Endpoint> all() {
        return Collections.unmodifiableCollection(endpoints.values());
    }

    /** The ready caches of the router's own zone. */
    List<Endpoint> caches() {
        return caches;
    }

    /** The ready parents. */
    List<Endpoint> parents() {
        return parents;
    }

    /** The ready origin, or null where the list has none. */
    Endpoint origin() {
        return origins.isEmpty() ? null : origins.get(0);
    }

    /** Whether an endpoint is a ready origin. */
    boolean isReadyOrigin(Endpoint endpoint) {
        return origins.contains(endpoint);
    }

    /** The ready endpoints of the tier that an endpoint belongs to. */
    List<Endpoint> tierOf(Endpoint endpoint) {
        return endpoint.isParent() ? parents : endpoint.isCache() ? caches : origins;
    }

    /** How many endpoints get nothing new now: those that drain and those that are ejected. */
    int countAvoided(long now) {
        return (int) endpoints.values().stream()
                .filter(endpoint -> endpoint.isAvoided(now))
                .count();
    }
}
