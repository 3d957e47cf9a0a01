package magpiewheel.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.membership.MembershipView;
import magpiewheel.region.RegionConfig;

/**
 * Makes the decisions on a request in order; each decision is a class of its own in this package.
 *
 * <ul>
 *   <li>{@link RetryPolicy} and {@link RetryBudget}: whether an attempt may start.
 *   <li>{@link CacheSelector}: the known holder, else the first cache with capacity in rendezvous order.
 *   <li>{@link LocalCopyPolicy} and {@link CachedOnlyPolicy}: whether the request can be answered without a fill.
 *   <li>{@link FillSourceSelector} and {@link RouteSelector}: which source fills a miss, and whether the limits admit
 *       the fill.
 *   <li>{@link OutcomeProcessor}: how the outcome of an attempt updates endpoints, objects and limits.
 * </ul>
 *
 * <p>An instance has no clock, no socket and no thread; {@link RoutingPolicy} states the contract with the caller.
 */
public final class RequestRouter implements RoutingPolicy {
    /** Interval between periodic ticks, in microseconds; short compared with a transfer. */
    static final long TICK_INTERVAL_US = 100_000;
    /**
     * Minimum retry-after advice to a rejected client, in microseconds: long enough for a queue to drain, short
     * compared with how long a client keeps trying.
     */
    private static final long MIN_RETRY_AFTER_US = 300_000;
    /** Delay before subscribing to discovery again after a failure, in microseconds. */
    private static final long RESUBSCRIBE_DELAY_US = 500_000;
    /** Timer handles. */
    private static final long TICK_TIMER = 0;

    private static final long SUBSCRIBE_TIMER = 1;
    private static final long FLEET_TIMER = 2;
    private static final long LOOKUP_TIMER = 3;
    /** Maximum number of peers remembered; a bound against senders that forge router numbers. */
    private static final int MAX_PEERS = 1_024;
    /** How long a silent peer is remembered, in microseconds, so that its late messages are recognised as late. */
    private static final long PEER_EXPIRY_US = 10_000_000;

    private final RoutingSettings settings;
    private final RoutingActions actions;
    private final SplittableRandom random;
    /** Requests in flight by identifier, in order of arrival. */
    private final Map<Long, InFlightRequest> inFlight = new LinkedHashMap<>();

    private final FleetProtocols fleet;
    private final RegionBridge regions;
    private final StalenessBridge staleness;
    private final RoutingState state;
    private final TransferTimes transfers;
    private final FillCoalescer fills;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget = new RetryBudget();
    private final CacheSelector cacheSelector;
    private final LocalCopyPolicy localCopies;
    private final CachedOnlyPolicy cachedOnly;
    private final RouteSelector routes;
    private final ConcurrencyLimiter limiter;
    private final AttemptStarter attempts;
    private final OutcomeProcessor outcomes;
    private final PeerExchange peerExchange;
    private boolean started;
    private boolean subscribed;

    /**
     * Creates a router without endpoints; {@link #endpointsChanged} delivers the first endpoint list.
     *
     * @param seed the seed of all random decisions
     * @param regionConfig the configuration of regions; null if they are off
     * @param boundedReads whether the read hints of requests are applied
     */
    public RequestRouter(
            RoutingSettings settings,
            long seed,
            RoutingActions actions,
            MembershipConfig membershipConfig,
            RegionConfig regionConfig,
            boolean boundedReads) {
        if (settings == null || actions == null) {
            throw new IllegalArgumentException((settings == null ? "settings" : "actions") + " must not be null");
        }
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        RouterTopology topology = settings.topology();
        fleet = new FleetProtocols(
                membershipConfig,
                regionConfig,
                actions,
                FLEET_TIMER,
                settings.limits().mayMessagePeers());
        staleness = new StalenessBridge(
                boundedReads, membershipConfig.startedMs() * 1_000, topology, fleet, inFlight, actions);
        regions = new RegionBridge(fleet, settings);
        state = new RoutingState(settings, regions, staleness);
        transfers = state.transfers();
        fills = state.fills();
        EndpointTable endpoints = state.endpoints();
        MembershipView membership = fleet.membershipView();
        PeerReports peers = new PeerReports(topology.zone(), MAX_PEERS, PEER_EXPIRY_US, endpoints.byId());
        OriginHealth originHealth = new OriginHealth(membership, random);
        CacheMissEstimator misses = new CacheMissEstimator();
        outliers = new OutlierDetector(settings, endpoints, transfers, actions);
        slowStart = new SlowStart(settings, endpoints, membership);
        limiter = new ConcurrencyLimiter(topology, endpoints, peers, originHealth);
        retryPolicy = new RetryPolicy(settings.limits());
        cacheSelector = new CacheSelector(settings, state, outliers, slowStart);
        localCopies = new LocalCopyPolicy(state.purgedCopies(), staleness, transfers);
        cachedOnly = new CachedOnlyPolicy(settings, state, outliers, slowStart);
        FillSourceSelector sources = new FillSourceSelector(state, outliers, slowStart, originHealth);
        routes = new RouteSelector(state, sources, limiter, misses);
        attempts = new AttemptStarter(settings, state, retryPolicy, originHealth, limiter, actions);
        PeerExchange.Collaborators peerCollaborators =
                new PeerExchange.Collaborators(fleet, peers, originHealth, limiter);
        peerExchange = new PeerExchange(settings, state, peerCollaborators, actions);
        outcomes = new OutcomeProcessor(
                settings,
                state,
                new OutcomeProcessor.Collaborators(outliers, originHealth, limiter, misses, cachedOnly, peerExchange));
    }

    // ---------------------------------------------------------------- discovery

    @Override
    public void endpointsChanged(long now, EndpointListMode mode, List<EndpointInfo> infos) {
        if (!started) {
            started = true;
            actions.setTimer(now + random.nextLong(TICK_INTERVAL_US), TICK_TIMER);
            fleet.start(now);
        }
        if (mode == EndpointListMode.FAILED) {
            subscribed = false;
            actions.setTimer(now + RESUBSCRIBE_DELAY_US, SUBSCRIBE_TIMER);
            return;
        }
        EndpointTable endpoints = state.endpoints();
        endpoints.update(now, mode, infos);
        staleness.endpointsChanged(now, endpoints.all());
        regions.endpointsChanged(now, endpoints.all(), slowStart::capacity);
        fills.forget(fill -> !fill.cache().isReady());
        resumeWaiting(now, request -> !request.awaitedCache.isReady());
        keepSubscribed();
    }

    private void keepSubscribed() {
        if (settings.mustSubscribe() && !subscribed) {
            subscribed = true;
            actions.subscribe(true);
        }
    }

    @Override
    public void objectsPurged(long now, Purge purge) {
        PurgeLog purges = state.purges();
        purges.add(now - purge.ageUs(), purge);
        staleness.objectsPurged(now, purge);
        if (purge.objectId() != 0) {
            state.holders().forget(purge.objectId());
        }
        fills.forget(fill -> fill.startedAt() <= purges.lastPurge(fill.objectId(), fill.group()));
    }

    @Override
    public void discoveryExpected(long now) {
        state.purgedCopies().contact().expectFrom(now);
    }

    @Override
    public void discoveryHeard(long heardAt, long delayUs) {
        state.purgedCopies().contact().heard(heardAt, delayUs);
        staleness.discoveryHeard(heardAt);
    }

    // ---------------------------------------------------------------- requests

    @Override
    public void requestArrived(long now, RoutingRequest request, LocalCopy localCopy) {
        if (request.requestClass() < 0
                || request.requestClass() >= settings.requestClasses().size()) {
            throw new IllegalArgumentException(
                    "request " + request.id() + " has the unknown class " + request.requestClass());
        }
        RequestClass requestClass = settings.requestClasses().get(request.requestClass());
        long budgetUs = request.timeBudgetUs() > 0 ? request.timeBudgetUs() : requestClass.deadlineUs();
        InFlightRequest arrived = new InFlightRequest(request, requestClass, now, now + budgetUs, localCopy);
        staleness.applyHint(now, arrived);
        retryBudget.deposit();
        inFlight.put(request.id(), arrived);
        if (!requestClass.write()) {
            state.holders().record(request.objectId()).requested(request);
            transfers.requestArrived(request);
            state.shedder().requested(arrived);
        }
        advance(now, arrived);
    }

    /**
     * Starts the next attempt of a request, or gives its final answer once no attempt is open. Without an open attempt
     * a request waits only for a fill in flight.
     */
    private void advance(long now, InFlightRequest request) {
        RetryPolicy.Permit permit = retryPolicy.permit(now, request);
        int retries = request.attempts.size() > request.cachedOnlyAttempts ? 1 : 0;
        boolean attemptsRemain = now < request.deadline
                && request.attempts.size() < settings.limits().maxAttempts();
        if (permit.mayAttempt()
                && !request.noMoreAttempts
                && attemptsRemain
                && retryBudget.tryWithdraw(retries)
                && tryNextStep(now, request, permit)) {
            return;
        }
        if (request.openAttempts() == 0) {
            giveFinalAnswer(now, request, permit);
        }
    }

    /** Starts an attempt, serves the local copy or lets the request wait; returns false if none is possible. */
    private boolean tryNextStep(long now, InFlightRequest request, RetryPolicy.Permit permit) {
        boolean write = request.requestClass.write();
        Endpoint target = write
                ? cacheSelector.forWrite(now, request, permit)
                : cacheSelector.forRead(now, request, permit, !settings.mayBypassCaches());
        boolean cached = write || cacheSelector.isKnownToHold(now, request, target);
        if (!cached && localCopies.servesBeforeFill(now, request)) {
            serveLocalCopy(request);
            return true;
        }
        Endpoint cachedOnlyTarget = cached ? null : cachedOnly.lookupTarget(now, request, target);
        if (cachedOnlyTarget != null && now < request.nextLookupAt) {
            fills.await(request, cachedOnlyTarget);
            actions.setTimer(request.nextLookupAt, LOOKUP_TIMER);
            return true;
        }
        Route route = cachedOnlyTarget != null
                ? routes.viaCache(now, request, cachedOnlyTarget, true, cached)
                : write ? routes.bypass(now, request, target) : readRoute(now, request, permit, target, cached);
        if (route == null || !permit.allows(route.target())) {
            return false;
        }
        attempts.start(now, request, route);
        return true;
    }

    /**
     * Routes a read via the selected cache. Without one the read bypasses the caches if that is allowed and admitted,
     * else it goes to any cache, even an ejected one.
     */
    private Route readRoute(
            long now, InFlightRequest request, RetryPolicy.Permit permit, Endpoint target, boolean cached) {
        if (target != null || !settings.mayBypassCaches()) {
            return routes.viaCache(now, request, target, false, cached);
        }
        Endpoint bypassTarget = routes.bypassTarget(now, request, permit.keyScope());
        if (bypassTarget != null) {
            return routes.bypass(now, request, bypassTarget);
        }
        return routes.viaCache(now, request, cacheSelector.forRead(now, request, permit, true), false, cached);
    }

    /** Gives the final answer: the local copy as a last resort, a rejection if a retry is safe, else a failure. */
    private void giveFinalAnswer(long now, InFlightRequest request, RetryPolicy.Permit permit) {
        if (localCopies.servesAsLastResort(now, request)) {
            serveLocalCopy(request);
            return;
        }
        request.completed = true;
        transfers.requestEnded(request.request, false);
        if (permit.mayReject()) {
            long waitUs = request.boundUnproven
                    ? staleness.retryAfterUs(now)
                    : MIN_RETRY_AFTER_US + random.nextLong(MIN_RETRY_AFTER_US);
            actions.reject(request.request.id(), settings.limits().retryAfterUs(waitUs));
        } else {
            actions.fail(request.request.id());
        }
        inFlight.remove(request.request.id());
    }

    private void serveLocalCopy(InFlightRequest request) {
        request.completed = true;
        transfers.requestEnded(request.request, true);
        actions.serveLocalCopy(request.request.id());
        inFlight.remove(request.request.id());
    }

    /** Ends the wait of the waiting requests that match, and advances them. */
    private void resumeWaiting(long now, Predicate<InFlightRequest> filter) {
        for (InFlightRequest request : fills.releaseMatching(filter)) {
            request.nextLookupAt = Math.min(request.nextLookupAt, now);
            advance(now, request);
        }
    }

    // ---------------------------------------------------------------- completion

    @Override
    public void streamStarted(long now, long requestId, int attempt) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            request.completed = true;
        }
    }

    @Override
    public void clientDisconnected(long now, long requestId) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            complete(request);
        }
    }

    /**
     * Marks a request as completed and cancels its open attempts. It stays in {@link #inFlight} until the last of them
     * ends.
     */
    private void complete(InFlightRequest request) {
        request.completed = true;
        fills.release(request);
        if (request.openAttempts() == 0) {
            inFlight.remove(request.request.id());
        } else if (settings.limits().mayCancel()) {
            request.openAttemptNumbers().forEach(number -> actions.cancelAttempt(request.request.id(), number));
        }
    }

    @Override
    public void attemptEnded(long now, AttemptOutcome outcome) {
        InFlightRequest request = inFlight.get(outcome.requestId());
        Attempt attempt = request == null ? null : request.openAttempt(outcome.attempt());
        if (attempt == null) {
            return;
        }
        attempt.end(outcome, request.requestClass.write() ? 0 : 1);
        // Attempts time out at the deadline, so a timed-out or expired attempt means that the deadline has passed.
        if (outcome.result() == AttemptResult.EXPIRED || outcome.result() == AttemptResult.TIMEOUT) {
            request.deadline = now;
        }
        limiter.fillEnded(attempt.fillProbability);
        double transferUs = transfers.transferUs(request.request);
        regions.attemptEnded(now, attempt, request.request.objectId(), outcome, transferUs);
        outcomes.process(now, request, attempt, outcome);
        if (outcome.requestCompleted() || request.completed) {
            complete(request);
        } else {
            advance(now, request);
        }
        if (attempt.fillProbability > 0) {
            fills.fillEnded(request.request, attempt.target);
            resumeWaiting(now, other -> other.awaitedCache == attempt.target && other.isForSamePart(request.request));
        }
    }

    // ---------------------------------------------------------------- timers and peers

    @Override
    public void timerExpired(long now, long handle) {
        if (handle == TICK_TIMER) {
            actions.setTimer(now + TICK_INTERVAL_US, TICK_TIMER);
            outliers.checkUnresponsive(now, inFlight.values());
            peerExchange.tick(now);
        } else if (handle == SUBSCRIBE_TIMER) {
            keepSubscribed();
        } else if (handle == FLEET_TIMER) {
            fleet.timerExpired(now);
        } else if (handle == LOOKUP_TIMER) {
            resumeWaiting(now, request -> request.nextLookupAt <= now);
        }
    }

    @Override
    public void peerMessageReceived(long now, long sender, byte[] message) {
        if (!fleet.dispatch(now, sender, message)) {
            peerExchange.messageReceived(now, sender, message);
        }
    }

    @Override
    public void reachabilityRefused(long now, int router, long probedAt) {
        fleet.reachabilityRefused(now, router, probedAt);
    }

    @Override
    public void setServing(long now, boolean serves) {
        fleet.setServing(now, serves);
    }

    // ---------------------------------------------------------------- queries

    @Override
    public long selectCache(long now, int zone, long objectId) {
        Endpoint cache = cacheSelector.forClient(now, zone, objectId);
        return cache == null ? NO_CACHE : cache.id;
    }

    @Override
    public int avoidedEndpoints(long now) {
        return state.endpoints().countAvoided(now);
    }

    @Override
    public BoundedReads boundedReads() {
        return staleness;
    }

    @Override
    public MembershipView membership() {
        return fleet.membershipView();
    }

    @Override
    public Map<String, Long> statistics(long now) {
        return staleness.addStatistics(now, regions.statistics(now));
    }
}
