package magpiewheel.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Which fills of parts were started lately and where, and which requests wait for one. It only stores. */
final class FillCoalescer {
    /** One part of an object. */
    private record Part(long objectId, int part) {}

    /** A fill of a part was started at a cache. */
    record Fill(long objectId, int part, int group, Endpoint cache, long startedAt) {}

    /** Fills remembered: some seconds' worth. */
    private static final int MAX_FILLS = 4_096;

    private final Map<Part, Fill> fills = new LinkedHashMap<>();
    private final Set<InFlightRequest> waiting = new LinkedHashSet<>();
    private final List<Fill> unreported = new ArrayList<>();

    /** This router starts a fill; its peers are to hear of it. */
    void fillStarted(RoutingRequest request, Endpoint cache, long now) {
        Fill fill = new Fill(request.objectId(), request.part(), request.group(), cache, now);
        recordFill(fill);
        if (unreported.size() < MAX_FILLS) {
            unreported.add(fill);
        }
    }

    /** A fill was started by some router; the newest counts. */
    void recordFill(Fill fill) {
        Part part = new Part(fill.objectId(), fill.part());
        Fill newest = fills.get(part);
        if (newest == null || newest.startedAt() < fill.startedAt()) {
            fills.remove(part);
            fills.put(part, fill);
        }
        if (fills.size() > MAX_FILLS) {
            fills.remove(fills.keySet().iterator().next());
        }
    }

    /** The newest fill of a part, or null. */
    Fill newestFill(RoutingRequest request) {
        return fills.get(new Part(request.objectId(), request.part()));
    }

    /** A cache lacks a part, and no fill of it is in flight there. */
    void partMissing(RoutingRequest request, Endpoint cache) {
        fills.computeIfPresent(
                new Part(request.objectId(), request.part()), (part, fill) -> fill.cache() == cache ? null : fill);
        fillEnded(request, cache);
    }

    /** A fill of this router ended: that it was started need not be reported any more. */
    void fillEnded(RoutingRequest request, Endpoint cache) {
        unreported.removeIf(fill ->
                fill.objectId() == request.objectId() && fill.part() == request.part() && fill.cache() == cache);
    }

    /** Forgets the fills that match. */
    void forget(Predicate<Fill> filter) {
        fills.values().removeIf(filter);
        unreported.removeIf(filter);
    }

    /** The fills in flight that were not reported to peers yet; each is reported once. */
    List<HolderHint> takeUnreported(long now) {
        List<HolderHint> taken = unreported.stream()
                .map(fill -> new HolderHint(fill.objectId(), fill.part(), fill.cache().id, fill.group(), (int)
                        ((now - fill.startedAt()) / 1_000)))
                .toList();
        unreported.clear();
        return taken;
    }

    /** How many requests wait. */
    int waitingRequests() {
        return waiting.size();
    }

    /** A request waits for a fill at a cache; it counts as in flight there. */
    void await(InFlightRequest request, Endpoint cache) {
        request.awaitedCache = cache;
        cache.ownInFlight++;
        waiting.add(request);
    }

    /** It waits no longer. */
    void release(InFlightRequest request) {
        if (waiting.remove(request)) {
            request.awaitedCache.ownInFlight--;
            request.awaitedCache = null;
        }
    }

    /** Ends the waiting of the requests that match, and returns them. */
    List<InFlightRequest> releaseMatching(Predicate<InFlightRequest> filter) {
        List<InFlightRequest> released = waiting.stream().filter(filter).toList();
        released.forEach(this::release);
        return released;
    }
}
