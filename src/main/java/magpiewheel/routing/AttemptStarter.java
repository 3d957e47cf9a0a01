package magpiewheel.routing;

/** Starts an attempt on a route: creates its plan and counts it at its endpoints, fill limit and region. */
final class AttemptStarter {
    /** Retention rank of an object at its first request, and at later requests. */
    private static final int FIRST_REQUEST_RANK = 1;

    private static final int REPEATED_REQUEST_RANK = 2;

    private final RoutingSettings settings;
    private final HolderTable holders;
    private final PurgedCopyPolicy purgedCopies;
    private final RetryPolicy retryPolicy;
    private final OriginHealth originHealth;
    private final ConcurrencyLimiter limiter;
    private final TransferTimes transfers;
    private final FillCoalescer fills;
    private final RegionBridge regions;
    private final StalenessBridge staleness;
    private final RoutingActions actions;
    /**
     * How long after its creation an attempt may start, in microseconds: before a drain or a purge announced meanwhile
     * would forbid it.
     */
    private final long startWithinUs;

    AttemptStarter(
            RoutingSettings settings,
            RoutingState state,
            RetryPolicy retryPolicy,
            OriginHealth originHealth,
            ConcurrencyLimiter limiter,
            RoutingActions actions) {
        this.settings = settings;
        this.holders = state.holders();
        this.purgedCopies = state.purgedCopies();
        this.retryPolicy = retryPolicy;
        this.originHealth = originHealth;
        this.limiter = limiter;
        this.transfers = state.transfers();
        this.fills = state.fills();
        this.regions = state.regions();
        this.staleness = state.staleness();
        this.actions = actions;
        SafetyLimits limits = settings.safetyLimits();
        long minNoticeUs = Math.min(limits.drainNoticeUs(), limits.purgeNoticeUs());
        startWithinUs = Math.max(RequestRouter.TICK_INTERVAL_US, minNoticeUs - RequestRouter.TICK_INTERVAL_US);
    }

    /** Starts an attempt of a request. */
    void start(long now, InFlightRequest request, Route route) {
        boolean write = request.requestClass.write();
        int rank = write ? 0 : retentionRank(request);
        boolean suppressFill =
                route.fillProbability() > 0 && route.source().isParent() && originHealth.suppressesFill(now);
        AttemptPlan plan = plan(now, request, route, rank, suppressFill);
        Attempt attempt = new Attempt(route.target(), route.source(), now, rank, route.fillProbability());
        request.attemptStarted(attempt, route.cachedOnly());
        if (suppressFill || route.noFurtherAttempts()) {
            request.noMoreAttempts = true;
        }
        countAttempt(now, request, attempt);
        if (route.fillProbability() > 0
                && rank > 0
                && !suppressFill
                && route.target().isCache()) {
            fills.fillStarted(request.request, route.target(), now);
        }
        actions.startAttempt(request.request.id(), route.target().id, plan);
    }

    private int retentionRank(InFlightRequest request) {
        return holders.record(request.request.objectId()).requests > 1 ? REPEATED_REQUEST_RANK : FIRST_REQUEST_RANK;
    }

    private AttemptPlan plan(long now, InFlightRequest request, Route route, int rank, boolean suppressFill) {
        boolean read = !request.requestClass.write();
        boolean bounded = enforcesBound(request, route, suppressFill);
        long ageLimit = read ? purgedCopies.ageLimit(now, request) : 0;
        return AttemptPlan.builder(route.source().id)
                .retentionRank(rank)
                .deadlineUs(request.deadline)
                .joinFill(settings.cachesJoinFills() && read && !request.boundUnproven)
                .cachedOnly(suppressFill)
                .revalidate(request.requestClass.freshUs() > 0 && read && !bounded)
                .maxAgeUs(bounded ? staleness.tightenAgeLimit(now, request, route.target(), ageLimit) : ageLimit)
                .startByUs(Math.min(now + startWithinUs, retryPolicy.retryableUntil(request)))
                .requiresProvenServer(
                        retryPolicy.permit(now, request).keyScope().requiresProvenServer())
                .build();
    }

    /**
     * Whether the attempt keeps to the staleness bound. A preferred bound is dropped if no fill may be started for it,
     * and from the second attempt that is not a lookup.
     */
    private static boolean enforcesBound(InFlightRequest request, Route route, boolean suppressFill) {
        boolean firstFill =
                request.attempts.size() == request.cachedOnlyAttempts && !route.noFurtherAttempts() && !suppressFill;
        return request.bound.strict() || request.bound.isBounded() && firstFill;
    }

    private void countAttempt(long now, InFlightRequest request, Attempt attempt) {
        double workUs = transfers.conservativeUs(request.request.requestClass());
        // A write only waits for the origin: counted as in flight, slow writes would displace hits at healthy caches.
        attempt.start(now, workUs, request.requestClass.write() ? 0 : 1);
        limiter.fillStarted(attempt.fillProbability);
        regions.attemptStarted(now, attempt, request.request.objectId(), workUs, transfers.transferUs(request.request));
    }
}
