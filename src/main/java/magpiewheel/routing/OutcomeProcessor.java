package magpiewheel.routing;

/** Updates the target, the source, the object and the limits with the outcome of an attempt. */
final class OutcomeProcessor {
    private final RoutingSettings settings;
    private final HolderTable holders;
    private final TransferTimes transfers;
    private final FillCoalescer fills;
    private final StalenessBridge staleness;
    private final OutlierDetector outliers;
    private final OriginHealth originHealth;
    private final ConcurrencyLimiter limiter;
    private final CacheMissEstimator misses;
    private final CachedOnlyPolicy cachedOnly;
    private final PeerExchange peerExchange;

    /** Components that are updated with outcomes, besides the shared state. */
    record Collaborators(
            OutlierDetector outliers,
            OriginHealth originHealth,
            ConcurrencyLimiter limiter,
            CacheMissEstimator misses,
            CachedOnlyPolicy cachedOnly,
            PeerExchange peerExchange) {}

    OutcomeProcessor(RoutingSettings settings, RoutingState state, Collaborators collaborators) {
        this.settings = settings;
        this.holders = state.holders();
        this.transfers = state.transfers();
        this.fills = state.fills();
        this.staleness = state.staleness();
        this.outliers = collaborators.outliers();
        this.originHealth = collaborators.originHealth();
        this.limiter = collaborators.limiter();
        this.misses = collaborators.misses();
        this.cachedOnly = collaborators.cachedOnly();
        this.peerExchange = collaborators.peerExchange();
    }

    /** Processes the outcome of an attempt that has ended. */
    void process(long now, InFlightRequest request, Attempt attempt, AttemptOutcome outcome) {
        staleness.attemptEnded(now, request, attempt, outcome);
        if (outcome.result() != AttemptResult.TIMEOUT && outcome.result() != AttemptResult.CANCELLED) {
            outliers.recordConnectionResult(now, attempt.target, outcome.result());
        }
        switch (outcome.result()) {
            case OK -> served(now, request, attempt, outcome);
            case MISS -> missed(now, request, attempt, outcome);
            // Does not indicate an outlier; after the first attempt the holder may be tried again.
            case CORRUPT -> attempt.sourceAtFault = request.attempts.size() == 1;
            case CANCELLED, EXPIRED -> {}
            default -> failed(now, request, attempt, outcome);
        }
    }

    // ---------------------------------------------------------------- success

    private void served(long now, InFlightRequest request, Attempt attempt, AttemptOutcome outcome) {
        outliers.succeeded(attempt.target);
        request.attempts.stream().filter(other -> other.ambiguousError).forEach(other -> countFailure(now, other));
        transfers.requestEnded(request.request, true);
        if (request.requestClass.write()) {
            return;
        }
        boolean hit = outcome.cacheStatus().isHit() && attempt.target.isCache();
        recordDuration(now, request, attempt, outcome, hit);
        if (outcome.cacheStatus().isFilled()) {
            attempt.source.lastAnsweredAt = now;
            outliers.succeeded(attempt.source);
            attempt.source.fillLatency.add(now, outcome.waitUs(transfers.transferUs(request.request)));
        }
        if (attempt.retentionRank > 0 && attempt.target.isCache()) {
            recordHolder(now, request, attempt.target, hit);
        }
    }

    /**
     * Counts an attempt as a failure of its target, after another endpoint served the request. Without a detailed cache
     * status the source may be at fault, so it counts as failed as well.
     */
    private void countFailure(long now, Attempt failed) {
        outliers.failed(now, failed.target);
        if (!settings.detailedCacheStatus() && failed.source != failed.target) {
            outliers.failed(now, failed.source);
        }
    }

    /**
     * Records a cache as the holder, unless another holder has a fresh hint: otherwise requests for the other parts
     * would follow a spilled request to the cache that served it.
     */
    private void recordHolder(long now, InFlightRequest request, Endpoint cache, boolean hit) {
        ObjectRecord object = holders.record(request.request.objectId());
        Endpoint holder = holders.holder(now, object);
        if (holder == null || holder == cache) {
            object.cached(cache, now, request.request.part());
            if (!hit) {
                peerExchange.queueHolderReport(HolderHint.of(request.request, cache.id, 0));
            }
        }
    }

    /** Records the duration of a response: that of a hit for its cache, any other for the fills. */
    private void recordDuration(
            long now, InFlightRequest request, Attempt attempt, AttemptOutcome outcome, boolean hit) {
        if (hit) {
            boolean lowLoad = attempt.target.inFlight() < ConcurrencyLimiter.MIN_LIMIT;
            transfers.hitMeasured(request.request, outcome.durationUs(), lowLoad);
        }
        boolean late = outcome.durationUs() > transfers.latencyObjectiveUs(request);
        if (attempt.fillProbability > 0 && attempt.target.isCache()) {
            misses.responded(hit);
        }
        if (!hit && outcome.cacheStatus() != CacheStatus.UNKNOWN) {
            originHealth.fillEnded(now, outcome.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN, late);
        }
        limiter.adapt(now, attempt, hit, late);
    }

    // ---------------------------------------------------------------- misses

    /** Handles a miss. An unacceptable copy is a miss of its holder; a second one ends the request. */
    private void missed(long now, InFlightRequest request, Attempt attempt, AttemptOutcome outcome) {
        boolean coalesced = outcome.cacheStatus() == CacheStatus.COALESCED;
        boolean unacceptable = outcome.isWithheldResponse();
        attempt.sourceAtFault = !unacceptable || !outcome.cacheStatus().isHit();
        boolean lacksPart = attempt.source == attempt.target && !unacceptable;
        boolean waits = cachedOnly.scheduleLookupAfterMiss(now, request, lacksPart && coalesced);
        request.noMoreAttempts = !waits && (request.noMoreAttempts || unacceptable && request.boundUnproven);
        request.boundUnproven |= unacceptable;
        if (unacceptable || !coalesced) {
            // Requests for later parts go to the holder of the first part, which may not hold them yet.
            ObjectRecord object = holders.record(request.request.objectId());
            boolean beyondCachedParts = lacksPart && request.request.part() > object.highestPartCached;
            object.holder = beyondCachedParts ? object.holder : null;
            fills.partMissing(request.request, attempt.target);
        }
    }

    // ---------------------------------------------------------------- failures

    /** Handles a failure. The source is at fault if the cache status says so, otherwise the target. */
    private void failed(long now, InFlightRequest request, Attempt attempt, AttemptOutcome outcome) {
        CacheStatus status = outcome.cacheStatus();
        boolean write = request.requestClass.write();
        if (status == CacheStatus.SOURCE_REJECTED || status == CacheStatus.SOURCE_UNREACHABLE) {
            attempt.sourceAtFault = true;
            outliers.failed(now, attempt.source);
            return;
        }
        if (status == CacheStatus.ORIGIN_FAILED || outcome.result() == AttemptResult.TIMEOUT && write) {
            originHealth.originFailed(now);
        }
        if (status == CacheStatus.ORIGIN_FAILED || status == CacheStatus.NO_CAPACITY) {
            limiter.adapt(now, attempt, false, true);
            return;
        }
        if (isOverload(outcome.result())) {
            if (!write) {
                limiter.adapt(now, attempt, attempt.fillProbability == 0, true);
            }
            boolean late = outcome.durationUs() >= request.requestClass.latencyObjectiveUs();
            if (outcome.result() == AttemptResult.REJECTED || late) {
                return;
            }
        }
        targetFailed(now, request, attempt, outcome.result());
    }

    private static boolean isOverload(AttemptResult result) {
        return result == AttemptResult.TIMEOUT || result == AttemptResult.REJECTED;
    }

    /**
     * Handles a failure of the target. An error may be caused by the request: it counts against the target only once
     * another endpoint serves the request, and a second error ends the request.
     */
    private void targetFailed(long now, InFlightRequest request, Attempt attempt, AttemptResult result) {
        attempt.ambiguousError = result == AttemptResult.ERROR;
        if (!attempt.ambiguousError) {
            outliers.failed(now, attempt.target);
        }
        long errors =
                request.attempts.stream().filter(other -> other.ambiguousError).count();
        request.noMoreAttempts |= errors > 1;
    }
}
