package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Selects the cache that a request goes to: the known holder, else the first with capacity in rendezvous order. */
final class CacheSelector {
    /** Multiple of the mean load of the candidates at which a cache spills (bounded-load hashing). */
    private static final double SPILL_LOAD_FACTOR = 1.25;

    private final RoutingSettings settings;
    private final EndpointTable endpoints;
    private final HolderTable holders;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final LoadShedder shedder;
    private final TransferTimes transfers;
    private final StalenessBridge staleness;

    CacheSelector(RoutingSettings settings, RoutingState state, OutlierDetector outliers, SlowStart slowStart) {
        this.settings = settings;
        this.endpoints = state.endpoints();
        this.holders = state.holders();
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.shedder = state.shedder();
        this.transfers = state.transfers();
        this.staleness = state.staleness();
    }

    /**
     * Returns the cache for a read; null if none has capacity. The holder that the staleness bound or a fresh hint
     * names comes first.
     *
     * @param includeUnhealthy whether ejected caches, and those that already failed the request, are used if no others
     *     are left
     */
    Endpoint forRead(long now, InFlightRequest request, RetryPolicy.Permit permit, boolean includeUnhealthy) {
        ObjectRecord object = holders.record(request.request.objectId());
        List<Endpoint> candidates = candidates(now, request, permit, includeUnhealthy);
        if (candidates.isEmpty()) {
            return null;
        }
        double meanLoad = 1 + Endpoint.mean(candidates, Endpoint::inFlight);
        double limitFactor = shedder.limitFactor(request);
        Endpoint holder = staleness.preferredCache(now, request, candidates, holders.holder(now, object));
        if (holder != null && candidates.contains(holder) && hasCapacity(holder, meanLoad, limitFactor)) {
            return holder;
        }
        candidates.sort(RendezvousHash.order(request.request.objectId()));
        for (Endpoint candidate : candidates) {
            if (hasCapacity(candidate, meanLoad, limitFactor)) {
                return candidate;
            }
        }
        return null;
    }

    /** Whether a cache has capacity. It spills beyond its own limit (slow) or far above the mean load (hot). */
    private static boolean hasCapacity(Endpoint cache, double meanLoad, double limitFactor) {
        double spillAt = Math.max(ConcurrencyLimiter.MIN_LIMIT, SPILL_LOAD_FACTOR * meanLoad);
        return cache.inFlight() < Math.min(cache.concurrencyLimit * limitFactor, spillAt);
    }

    /**
     * Returns the endpoint that a write goes through: the origin if routers may reach it directly, else the least
     * loaded cache; null if there is none.
     */
    Endpoint forWrite(long now, InFlightRequest request, RetryPolicy.Permit permit) {
        Endpoint origin = endpoints.origin();
        if (settings.mayBypassCaches() && origin != null && permit.allows(origin)) {
            return origin;
        }
        List<Endpoint> candidates = candidates(now, request, permit, true);
        return candidates.isEmpty() ? null : Collections.min(candidates, Comparator.comparingInt(Endpoint::inFlight));
    }

    /** Returns the caches that may receive the request; see {@link #forRead} for unhealthy ones. */
    private List<Endpoint> candidates(
            long now, InFlightRequest request, RetryPolicy.Permit permit, boolean includeUnhealthy) {
        double workUs = transfers.conservativeUs(request.request.requestClass());
        List<Endpoint> allowed = new ArrayList<>(endpoints.caches());
        allowed.removeIf(cache -> !permit.allows(cache) || !slowStart.hasBudget(now, cache, workUs));
        List<Endpoint> healthy = new ArrayList<>(allowed);
        healthy.removeIf(cache -> !outliers.isUsable(now, cache) || request.failedAt(cache));
        return includeUnhealthy && healthy.isEmpty() ? allowed : healthy;
    }

    /** Returns whether a cache is known to hold an acceptable copy of the requested part. */
    boolean isKnownToHold(long now, InFlightRequest request, Endpoint cache) {
        ObjectRecord object = holders.record(request.request.objectId());
        boolean cached = request.request.part() <= object.highestPartCached && cache == holders.holder(now, object);
        return cache != null && cached && staleness.mayHoldAcceptableCopy(now, request, cache);
    }

    /** Returns the cache of a zone that a client should connect to directly for an object; null if none is usable. */
    Endpoint forClient(long now, int zone, long objectId) {
        double workUs = transfers.longestConservativeReadUs();
        List<Endpoint> usable = new ArrayList<>(endpoints.all());
        usable.removeIf(cache -> !cache.isReady() || !cache.isCacheOf(zone));
        usable.removeIf(cache -> !slowStart.hasBudget(now, cache, workUs) || !outliers.isUsable(now, cache));
        Endpoint holder = holders.holder(now, objectId);
        Endpoint first = usable.isEmpty() ? null : RendezvousHash.first(usable, objectId);
        Endpoint found = usable.contains(holder) ? holder : first;
        if (found != null) {
            // The client connects to the cache directly, but its work counts against the slow-start budget.
            found.recentWork.add(now, workUs);
        }
        return found;
    }
}
