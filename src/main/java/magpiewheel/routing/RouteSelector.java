package magpiewheel.routing;

/** Builds a route from a target and its fill source, within the limits on fills. */
final class RouteSelector {
    private final EndpointTable endpoints;
    private final FillSourceSelector sources;
    private final ConcurrencyLimiter limiter;
    private final LoadShedder shedder;
    private final CacheMissEstimator misses;
    private final TransferTimes transfers;
    private final RegionBridge regions;

    RouteSelector(
            RoutingState state, FillSourceSelector sources, ConcurrencyLimiter limiter, CacheMissEstimator misses) {
        this.endpoints = state.endpoints();
        this.sources = sources;
        this.limiter = limiter;
        this.shedder = state.shedder();
        this.misses = misses;
        this.transfers = state.transfers();
        this.regions = state.regions();
    }

    /** Returns the fill source for a request; null if none is usable. */
    Endpoint source(long now, InFlightRequest request) {
        return sources.select(now, request);
    }

    /**
     * Returns the source that a read goes to when it bypasses the caches; null if none in the key scope is usable or
     * the fill limit rejects the read.
     */
    Endpoint bypassTarget(long now, InFlightRequest request, KeyScope keyScope) {
        return admitsFill(request, 1) ? sources.select(now, request, keyScope) : null;
    }

    /**
     * Returns a route that bypasses the caches, or null. A miss is filled from the origin, or from any parent if there
     * is no origin.
     */
    Route bypass(long now, InFlightRequest request, Endpoint target) {
        double fill = request.requestClass.write() ? 0 : 1;
        Endpoint origin = endpoints.origin();
        Endpoint source = target == null || origin != null ? origin : sources.parent(now, request, true);
        boolean admitted = target != null && source != null && (fill == 0 || regionAdmitsFill(now, request, fill));
        return admitted ? new Route(target, source, fill, false, false) : null;
    }

    /**
     * Returns a route via a cache; null without a cache or a source.
     *
     * @param cachedOnly whether the cache may answer only from what it holds
     * @param cached whether the cache is known to hold the object
     */
    Route viaCache(long now, InFlightRequest request, Endpoint cache, boolean cachedOnly, boolean cached) {
        Endpoint source = sources.select(now, request);
        if (cache == null || source == null) {
            return null;
        }
        double fill = cached ? 0 : misses.missProbability();
        // Beyond the limit no fill is started, but the cache may still hold the object.
        boolean noFurtherAttempts =
                !cachedOnly && fill > 0 && (!admitsFill(request, fill) || !regionAdmitsFill(now, request, fill));
        boolean noFill = cachedOnly || noFurtherAttempts;
        return new Route(cache, noFill ? cache : source, noFill ? 0 : fill, noFill, noFurtherAttempts);
    }

    private boolean admitsFill(InFlightRequest request, double probability) {
        return limiter.admitsFill(probability, shedder.limitFactor(request));
    }

    private boolean regionAdmitsFill(long now, InFlightRequest request, double probability) {
        double workUs = transfers.meanUs(request.request.requestClass());
        return regions.admitsFill(now, request.request.objectId(), probability * workUs);
    }
}
