package magpiewheel.routing;

/**
 * Coalesces reads with fills in flight on behalf of caches that do not: a read first makes a lookup, a cached-only
 * attempt that the cache answers only from what it holds, and waits while the cache reports a fill of the part in
 * flight.
 */
final class CachedOnlyPolicy {
    /** Maximum number of requests that wait for fills at the same time. */
    private static final int MAX_WAITING = 64;
    /** Maximum number of lookups by one request, spread over the time that it has. */
    private static final int MAX_LOOKUPS = 5;

    private final RoutingSettings settings;
    private final FillCoalescer fills;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final TransferTimes transfers;
    private final StalenessBridge staleness;

    CachedOnlyPolicy(RoutingSettings settings, RoutingState state, OutlierDetector outliers, SlowStart slowStart) {
        this.settings = settings;
        this.fills = state.fills();
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.transfers = state.transfers();
        this.staleness = state.staleness();
    }

    /**
     * Returns the cache for a read's next lookup: where its part is being filled, or would be; null if no lookup is
     * due.
     */
    Endpoint lookupTarget(long now, InFlightRequest request, Endpoint target) {
        if (!applies(request)) {
            return null;
        }
        boolean first = request.attempts.isEmpty();
        Endpoint fillingCache = cacheFillingPart(now, request, target);
        Endpoint cache = first ? fillingCache : request.lastAttempt().target;
        if (cache != null && isUsable(now, request, cache)) {
            return cache;
        }
        return first ? target : null;
    }

    private boolean applies(InFlightRequest request) {
        boolean attemptsRemain = request.attempts.size() + 2 < settings.limits().maxAttempts();
        boolean noLookupScheduled = request.nextLookupAt == Long.MAX_VALUE;
        return !settings.cachesJoinFills()
                && request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                && !noLookupScheduled
                && attemptsRemain;
    }

    /** Returns the cache where a fill of the part started lately; the target if none did or the bound prefers it. */
    private Endpoint cacheFillingPart(long now, InFlightRequest request, Endpoint target) {
        FillCoalescer.Fill fill = fills.newestFill(request.request);
        boolean fillInFlight = fill != null
                && now - fill.startedAt() < HolderTable.HINT_LIFETIME_US
                && !staleness.prefers(now, request, target);
        return fillInFlight ? fill.cache() : target;
    }

    private boolean isUsable(long now, InFlightRequest request, Endpoint cache) {
        return cache.isReady()
                && outliers.isUsable(now, cache)
                && cache.inFlight() < cache.concurrencyLimit
                && slowStart.hasBudget(now, cache, transfers.conservativeUs(request.request.requestClass()));
    }

    /**
     * Schedules the next lookup after a cache missed the part, and returns whether the request waits for it.
     *
     * @param fillInFlight whether the cache reported a fill of the part in flight
     */
    boolean scheduleLookupAfterMiss(long now, InFlightRequest request, boolean fillInFlight) {
        double objectiveUs = transfers.latencyObjectiveUs(request);
        long remainingUs = (long) (request.arrivedAt + objectiveUs - transfers.transferUs(request.request)) - now;
        boolean waits = fillInFlight
                && remainingUs > 0
                && request.cachedOnlyAttempts < MAX_LOOKUPS
                && fills.waitingRequests() < MAX_WAITING;
        request.nextLookupAt = waits ? now + remainingUs / (MAX_LOOKUPS - request.cachedOnlyAttempts) : Long.MAX_VALUE;
        return waits;
    }
}
