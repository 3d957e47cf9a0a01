package magpiewheel.routing;

/**
 * Where caches do not join a request to a fill in flight, the router does: a read first asks a cache only for what it
 * holds, and waits while the part is on its way there.
 */
final class CachedOnlyPolicy {
    /** Requests that may wait for fills at once. */
    private static final int MAX_WAITING = 64;
    /** How often one request asks, spread over the time that it has. */
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

    /** The cache that a read first asks for what it holds, where its part is filled or would be; null for none. */
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

    /** The cache that the part was sent to lately, unless the staleness bound itself names the target. */
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
     * A cache lacks the part: sets when the request may ask again, and says whether it waits.
     *
     * @param fillInFlight whether the cache said that the part is on its way there
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
