package magpiewheel.routing;

/** Starts an attempt on a route: makes its plan and counts it wherever it counts. */
final class AttemptStarter {
    /** Retention rank of an object at its first request, and of one that was requested before. */
    private static final int FIRST_RANK = 1;

    private static final int REPEATED_RANK = 2;

    private final RoutingSettings settings;
    private final HolderTable holders;
    private final PurgeLog purges;
    private final RetryPolicy retries;
    private final OriginHealth originHealth;
    private final ConcurrencyLimiter limiter;
    private final TransferTimes transfers;
    private final FillCoalescer fills;
    private final RegionBridge regions;
    private final StalenessBridge staleness;
    private final RoutingActions actions;
    /** How long a plan holds: it must start before a drain or a purge notified meanwhile would forbid it. */
    private final long startWithinUs;
    /** A fill that began before a purge may land after the caches dropped their older copies. */
    private final long purgeMattersUs;

    AttemptStarter(
            RoutingSettings settings,
            RoutingState state,
            RetryPolicy retries,
            OriginHealth originHealth,
            ConcurrencyLimiter limiter,
            RoutingActions actions) {
        this.settings = settings;
        this.holders = state.holders();
        this.purges = state.purges();
        this.retries = retries;
        this.originHealth = originHealth;
        this.limiter = limiter;
        this.transfers = state.transfers();
        this.fills = state.fills();
        this.regions = state.regions();
        this.staleness = state.staleness();
        this.actions = actions;
        SafetyLimits limits = settings.safetyLimits();
        long noticeUs = Math.min(limits.drainNoticeUs(), limits.purgeNoticeUs());
        startWithinUs = Math.max(RequestRouter.TICK_US, noticeUs - RequestRouter.TICK_US);
        purgeMattersUs = limits.purgeCompletionUs() + settings.longestDeadlineUs();
    }

    /** Starts it. */
    void start(long now, InFlightRequest request, Route route) {
        boolean write = request.requestClass.write();
        int rank = write ? 0 : retentionRank(request);
        boolean spare = route.fillProbability() > 0 && route.source().isParent() && originHealth.sparesFill(now);
        AttemptPlan plan = plan(now, request, route, rank, spare);
        Attempt attempt = new Attempt(route.target(), route.source(), now, rank, route.fillProbability());
        request.started(attempt, route.cachedOnly());
        if (spare || route.last()) {
            request.noMoreAttempts = true;
        }
        count(now, request, attempt);
        if (route.fillProbability() > 0 && rank > 0 && !spare && route.target().isCache()) {
            fills.started(request.request, route.target(), now);
        }
        actions.startAttempt(request.request.id(), route.target().id, plan);
    }

    private int retentionRank(InFlightRequest request) {
        return holders.record(request.request.objectId()).requests > 1 ? REPEATED_RANK : FIRST_RANK;
    }

    private AttemptPlan plan(long now, InFlightRequest request, Route route, int rank, boolean spare) {
        boolean read = !request.requestClass.write();
        boolean bounded = isBounded(request, route, spare);
        long ageLimit = read ? purges.ageLimit(now, request, purgeMattersUs) : 0;
        return AttemptPlan.builder(route.source().id)
                .retentionRank(rank)
                .deadlineUs(request.deadline)
                .joinFill(settings.cachesJoinFills() && read && !request.unproven)
                .cachedOnly(spare)
                .revalidate(request.requestClass.freshUs() > 0 && read && !bounded)
                .maxAgeUs(bounded ? staleness.tightenAgeLimit(now, request, route.target(), ageLimit) : ageLimit)
                .startByUs(Math.min(now + startWithinUs, retries.retryableUntil(request)))
                .build();
    }

    /** A preferred bound is given up where no fill may go out for it, and with the second attempt of a request. */
    private static boolean isBounded(InFlightRequest request, Route route, boolean spare) {
        boolean firstFill = request.attempts.size() == request.cachedOnlyAttempts && !route.last() && !spare;
        return request.bound.strict() || request.bound.isBounded() && firstFill;
    }

    private void count(long now, InFlightRequest request, Attempt attempt) {
        double workUs = transfers.carefulUs(request.request.requestClass());
        // A write only waits for the origin: counted in flight, a slow one would crowd hits out of sound caches.
        attempt.start(now, workUs, request.requestClass.write() ? 0 : 1);
        limiter.fillStarted(attempt.fillProbability);
        regions.attemptStarted(now, attempt, request.request.objectId(), workUs, transfers.transferUs(request.request));
    }
}
