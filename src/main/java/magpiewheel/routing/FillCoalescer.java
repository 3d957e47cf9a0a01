package magpiewheel.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Where parts of objects were lately sent to be filled, and which requests wait for such a fill. It only stores. */
final class FillCoalescer {
    /** One part of an object. */
    private record Part(long object, int part) {}

    /** A fill of a part was sent to a cache. */
    record Fill(long object, int part, int group, Endpoint cache, long since) {}

    /** Fills remembered: some seconds' worth. */
    private static final int MAX_FILLS = 4_096;

    private final Map<Part, Fill> fills = new LinkedHashMap<>();
    private final Set<InFlightRequest> waiting = new LinkedHashSet<>();
    private final List<Fill> unreported = new ArrayList<>();

    /** A fill of this front goes out; the others are to be told. */
    void started(RoutingRequest request, Endpoint cache, long now) {
        Fill fill = new Fill(request.objectId(), request.part(), request.group(), cache, now);
        reported(fill);
        if (unreported.size() < MAX_FILLS) {
            unreported.add(fill);
        }
    }

    /** A fill was sent, by whomever; the newest counts. */
    void reported(Fill fill) {
        Part part = new Part(fill.object(), fill.part());
        Fill known = fills.get(part);
        if (known == null || known.since() < fill.since()) {
            fills.remove(part);
            fills.put(part, fill);
        }
        if (fills.size() > MAX_FILLS) {
            fills.remove(fills.keySet().iterator().next());
        }
    }

    /** Where a part was sent last, or null. */
    Fill of(RoutingRequest request) {
        return fills.get(new Part(request.objectId(), request.part()));
    }

    /** A cache has not got a part, and it is not on its way there. */
    void missed(RoutingRequest request, Endpoint cache) {
        fills.computeIfPresent(
                new Part(request.objectId(), request.part()), (part, fill) -> fill.cache() == cache ? null : fill);
        ended(request, cache);
    }

    /** A fill of this front is out no longer: that it was sent is no news. */
    void ended(RoutingRequest request, Endpoint cache) {
        unreported.removeIf(
                fill -> fill.object() == request.objectId() && fill.part() == request.part() && fill.cache() == cache);
    }

    /** Forgets those of the fills. */
    void forget(Predicate<Fill> which) {
        fills.values().removeIf(which);
        unreported.removeIf(which);
    }

    /** Fills that are still out and that the others were not told of: they are told once. */
    List<HolderHint> takeUnreported(long now) {
        List<HolderHint> taken = unreported.stream()
                .map(fill -> new HolderHint(fill.object(), fill.part(), fill.cache().id, fill.group(), (int)
                        ((now - fill.since()) / 1_000)))
                .toList();
        unreported.clear();
        return taken;
    }

    /** How many requests wait. */
    int waiting() {
        return waiting.size();
    }

    /** A request waits for what is on its way to a cache; it counts in hand there. */
    void await(InFlightRequest flight, Endpoint cache) {
        flight.awaitedCache = cache;
        cache.ownInFlight++;
        waiting.add(flight);
    }

    /** It waits no longer. */
    void release(InFlightRequest flight) {
        if (waiting.remove(flight)) {
            flight.awaitedCache.ownInFlight--;
            flight.awaitedCache = null;
        }
    }

    /** Those of the waiting that may go on now. */
    List<InFlightRequest> released(Predicate<InFlightRequest> which) {
        List<InFlightRequest> released = waiting.stream().filter(which).toList();
        released.forEach(this::release);
        return released;
    }
}
