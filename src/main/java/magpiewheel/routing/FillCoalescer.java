package magpiewheel.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Stores which fills of parts started lately at which caches, and which requests wait for one. It decides nothing. */
final class FillCoalescer {
    /** Identifies one part of an object. */
    private record Part(long objectId, int part) {}

    /** A fill of a part that was started at a cache. */
    record Fill(long objectId, int part, int group, Endpoint cache, long startedAt) {}

    /** Maximum number of fills remembered: those of a few seconds. */
    private static final int MAX_FILLS = 4_096;

    private final Map<Part, Fill> fills = new LinkedHashMap<>();
    private final Set<InFlightRequest> waiting = new LinkedHashSet<>();
    private final List<Fill> unreported = new ArrayList<>();

    /** Records a fill that this router starts, and queues it for the next report to peers. */
    void fillStarted(RoutingRequest request, Endpoint cache, long now) {
        Fill fill = new Fill(request.objectId(), request.part(), request.group(), cache, now);
        recordFill(fill);
        if (unreported.size() < MAX_FILLS) {
            unreported.add(fill);
        }
    }

    /** Records a fill that any router started; the newest of a part replaces the others. */
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

    /** Returns the newest fill of the requested part, or null. */
    Fill newestFill(RoutingRequest request) {
        return fills.get(new Part(request.objectId(), request.part()));
    }

    /** Forgets the fill of a part at a cache that lacks the part and has no fill of it in flight. */
    void partMissing(RoutingRequest request, Endpoint cache) {
        fills.computeIfPresent(
                new Part(request.objectId(), request.part()), (part, fill) -> fill.cache() == cache ? null : fill);
        fillEnded(request, cache);
    }

    /** Handles the end of a fill of this router: its start no longer has to be reported. */
    void fillEnded(RoutingRequest request, Endpoint cache) {
        unreported.removeIf(fill ->
                fill.objectId() == request.objectId() && fill.part() == request.part() && fill.cache() == cache);
    }

    /** Forgets the fills that match. */
    void forget(Predicate<Fill> filter) {
        fills.values().removeIf(filter);
        unreported.removeIf(filter);
    }

    /** Returns the fills in flight that were not reported to peers yet; each is returned once. */
    List<HolderHint> takeUnreported(long now) {
        List<HolderHint> taken = unreported.stream()
                .map(fill -> new HolderHint(fill.objectId(), fill.part(), fill.cache().id, fill.group(), (int)
                        ((now - fill.startedAt()) / 1_000)))
                .toList();
        unreported.clear();
        return taken;
    }

    /** Returns the number of waiting requests. */
    int waitingRequests() {
        return waiting.size();
    }

    /** Lets a request wait for a fill at a cache; it counts as in flight there. */
    void await(InFlightRequest request, Endpoint cache) {
        request.awaitedCache = cache;
        cache.ownInFlight++;
        waiting.add(request);
    }

    /** Ends the wait of a request, if it waits. */
    void release(InFlightRequest request) {
        if (waiting.remove(request)) {
            request.awaitedCache.ownInFlight--;
            request.awaitedCache = null;
        }
    }

    /** Ends the wait of the requests that match, and returns them. */
    List<InFlightRequest> releaseMatching(Predicate<InFlightRequest> filter) {
        List<InFlightRequest> released = waiting.stream().filter(filter).toList();
        released.forEach(this::release);
        return released;
    }
}
