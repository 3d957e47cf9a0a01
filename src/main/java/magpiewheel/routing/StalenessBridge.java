package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import magpiewheel.staleness.BoundedStalenessReads;
import magpiewheel.staleness.ReadHint;
import magpiewheel.staleness.Replica;
import magpiewheel.staleness.StalenessBound;

/**
 * Connects the routing decisions with the bounded-staleness reads: passes endpoints, copies and purges on, and returns
 * the results. It makes no decisions; while disabled it behaves as if no request had a hint.
 */
final class StalenessBridge implements BoundedReads {
    /** Fresh time of a class whose copies never become stale. */
    private static final long UNLIMITED_FRESH_US = Long.MAX_VALUE / 8;

    private static final long UNKNOWN_AGE = -1;
    private static final long US_PER_MS = 1_000;
    private final BoundedStalenessReads reads;
    private final RouterTopology topology;
    private final Map<Long, InFlightRequest> inFlight;
    /** The last request that was routed to the origin to learn the origin's clock; null before the first. */
    private InFlightRequest originReader;
    /** Purges by the origin's clock; the {@link PurgeLog} of the routing decisions uses this router's clock. */
    private final PurgeLog purges = new PurgeLog();

    /** Creates a bridge and adds its protocol to the fleet protocols, unless it is disabled. */
    StalenessBridge(
            boolean enabled,
            long now,
            RouterTopology topology,
            FleetProtocols fleet,
            Map<Long, InFlightRequest> inFlight,
            RoutingActions actions) {
        this.inFlight = inFlight;
        this.topology = topology;
        reads = !enabled
                ? null
                : new BoundedStalenessReads(
                        now, topology.routerId(), topology.zone(), fleet.membershipView(), actions::sendToPeer);
        if (reads != null) {
            fleet.add(new FleetProtocols.PeerProtocol(
                    BoundedStalenessReads::isStalenessMessage, reads::messageReceived, at -> reads.due(), reads::tick));
        }
    }

    // ---------------------------------------------------------------- queries of the routing decisions

    /** Returns the staleness bound that a request's hint specifies; writes ignore hints. */
    private StalenessBound boundOf(long now, InFlightRequest request) {
        if (reads == null
                || request.requestClass.write()
                || !request.request.hint().isBounded()) {
            return StalenessBound.NONE;
        }
        long freshUs = request.requestClass.freshUs();
        return reads.boundOf(
                now,
                request.request.hint(),
                freshUs > 0 ? freshUs : UNLIMITED_FRESH_US,
                freshUs > 0 ? request.requestClass.staleGraceUs() : 0,
                purgedUs(request));
    }

    /**
     * Sets the staleness bound of a request. Where only a response of the origin can prove the bound, the request is
     * routed there; while one such request is in flight, others are rejected.
     */
    void applyHint(long now, InFlightRequest request) {
        request.setBound(boundOf(now, request));
        if (request.noMoreAttempts || !requiresOriginResponse(now, request)) {
            return;
        }
        request.boundUnproven = true;
        request.noMoreAttempts =
                !BoundedStalenessReads.mayReadOrigin(originReader == null ? 0 : originReader.openAttempts());
        originReader = request.noMoreAttempts ? originReader : request;
    }

    /** Whether only a response of the origin can prove the bound; a fill that is already in flight can not. */
    boolean requiresOriginResponse(long now, InFlightRequest request) {
        return reads != null && reads.requiresOriginResponse(now, request.bound);
    }

    /**
     * Returns the lower of an age limit and the one that the bound sets for a target, us.
     *
     * @param limit the age limit; 0 for none
     * @return the age limit; 0 for none
     */
    long tightenAgeLimit(long now, InFlightRequest request, Endpoint target, long limit) {
        long bound = !request.bound.isBounded()
                ? 0
                : requiresOriginResponse(now, request)
                        ? 1
                        : reads.maxAgeUs(
                                now, request.request.objectId(), request.request.part(), target.id, request.bound);
        return limit == 0 || bound > 0 && bound < limit ? bound : limit;
    }

    /**
     * Returns the preferred cache: the session's sticky cache or one with an acceptable copy, if it is a candidate;
     * else the holder.
     */
    Endpoint preferredCache(long now, InFlightRequest request, List<Endpoint> candidates, Endpoint holder) {
        if (reads == null || request.request.hint().session() == 0 && !request.bound.isBounded()) {
            return holder;
        }
        List<Endpoint> ordered = new ArrayList<>(candidates);
        ordered.sort(RendezvousHash.order(request.request.objectId()));
        if (holder != null && ordered.remove(holder)) {
            ordered.add(0, holder);
        }
        long preferred = reads.preferredReplica(
                now,
                request.request.hint(),
                request.request.objectId(),
                request.request.part(),
                ordered.stream().map(endpoint -> endpoint.id).toList(),
                request.bound);
        return preferred == 0
                ? holder
                : ordered.stream()
                        .filter(endpoint -> endpoint.id == preferred)
                        .findFirst()
                        .orElse(holder);
    }

    /** Whether the hint prefers a cache: it is the sticky cache of the session, or has an acceptable copy. */
    boolean prefers(long now, InFlightRequest request, Endpoint cache) {
        return cache != null && preferredCache(now, request, List.of(cache), null) == cache;
    }

    /** Whether the copy known at an endpoint may satisfy the bound; true without a bound or an endpoint. */
    boolean mayHoldAcceptableCopy(long now, InFlightRequest request, Endpoint endpoint) {
        return !request.bound.isBounded()
                || endpoint == null
                || reads.mayBeAcceptable(
                        now, request.request.objectId(), request.request.part(), endpoint.id, request.bound);
    }

    /** Whether a copy satisfies the bound and is not older than a purge; true without a bound. */
    boolean accepts(long now, InFlightRequest request, long originTimeUs) {
        return !request.bound.isBounded()
                || originTimeUs >= purgedUs(request) && reads.accepts(now, request.bound, originTimeUs);
    }

    /**
     * Returns the earliest origin time that is acceptable after the purges, us. A copy with the millisecond of a purge
     * is not: it may be older than the purge.
     */
    private long purgedUs(InFlightRequest request) {
        long purge = purges.lastPurge(request.request.objectId(), request.request.group());
        return purge == Long.MIN_VALUE ? 0 : purge + US_PER_MS;
    }

    @Override
    public DeliveryDecision evaluateDelivery(long now, long requestId, long originTimeMs) {
        InFlightRequest request = inFlight.get(requestId);
        return reads == null || request == null ? DeliveryDecision.UNCHANGED : decide(now, request, originTimeMs);
    }

    /** Withholds a copy that violates the bound of a strict read; for a preferred read, delivers it with its age. */
    private DeliveryDecision decide(long now, InFlightRequest request, long originTimeMs) {
        long originTimeUs = Math.max(0, originTimeMs) * US_PER_MS;
        long mark = BoundedStalenessReads.markOf(originTimeUs, request.requestClass.write());
        if (accepts(now, request, originTimeUs)) {
            return new DeliveryDecision(true, mark, 0);
        }
        if (request.bound.strict()) {
            return DeliveryDecision.WITHHELD;
        }
        // A copy that only a later purge made unacceptable satisfies the bound as it was set.
        long ageMs = reads.violatingAgeMs(now, request.bound, originTimeUs);
        return new DeliveryDecision(true, mark, ageMs == 0 ? UNKNOWN_AGE : ageMs);
    }

    /** Returns the retry-after time of a client that was rejected because of its bound, us. */
    long retryAfterUs(long now) {
        return reads.retryAfterUs(now);
    }

    // ---------------------------------------------------------------- events

    @Override
    public void responseReceived(long requestId, int attemptNumber, long at, CacheStatus status, long originTimeMs) {
        InFlightRequest request = inFlight.get(requestId);
        if (reads == null || request == null || originTimeMs <= 0) {
            return;
        }
        Attempt attempt = request.attempts.get(attemptNumber);
        if (request.requestClass.write()) {
            reads.writeAnswered(attempt.sentAt, at, originTimeMs * US_PER_MS);
            return;
        }
        boolean bypassed = !attempt.target.isCache();
        boolean fromOrigin = attempt.source.isOrigin() && (bypassed || status.isFilled());
        reads.responseReceived(
                attempt.sentAt,
                at,
                originTimeMs * US_PER_MS,
                fromOrigin && (!bypassed || attempt.source == attempt.target));
    }

    /**
     * Records the copies that the outcome of an attempt reveals. A copy reported with a miss was not acceptable: it
     * shows only which cache holds it.
     */
    void attemptEnded(long now, InFlightRequest request, Attempt attempt, AttemptOutcome outcome) {
        if (reads == null || outcome.originTimeMs() <= 0 || request.requestClass.write()) {
            return;
        }
        ReadHint hint = outcome.result() == AttemptResult.OK ? request.request.hint() : ReadHint.NONE;
        long originTimeUs = outcome.originTimeMs() * US_PER_MS;
        if (attempt.target.isCache()) {
            reads.responseServed(
                    now, hint, request.request.objectId(), request.request.part(), attempt.target.id, originTimeUs);
        }
        if (outcome.cacheStatus().isFilled() && attempt.source.isParent()) {
            reads.responseServed(
                    now,
                    ReadHint.NONE,
                    request.request.objectId(),
                    request.request.part(),
                    attempt.source.id,
                    originTimeUs);
        }
    }

    /** Records a purge that was made at the origin. */
    void objectsPurged(long now, Purge purge) {
        if (reads != null) {
            // Where the origin's time is unknown, this router's clock replaces it.
            long at = purge.originTimeMs() > 0 ? purge.originTimeMs() * US_PER_MS : now - purge.ageUs();
            purges.add(at, purge);
            reads.objectPurged(now, purge.objectId(), purge.group(), at);
        }
    }

    /** Passes the caches of this router's zone on, when the endpoint list has changed. */
    void endpointsChanged(long now, Collection<Endpoint> endpoints) {
        if (reads != null) {
            reads.replicasChanged(
                    now,
                    endpoints.stream()
                            .filter(endpoint -> endpoint.state != EndpointState.REMOVED
                                    && endpoint.isCache()
                                    && endpoint.info.zone() == topology.zone())
                            .map(endpoint -> new Replica(
                                    endpoint.id,
                                    endpoint.state == EndpointState.DRAINING,
                                    endpoint.info.weight(),
                                    endpoint.info.startedUs()))
                            .toList());
        }
    }

    @Override
    public boolean isUnproven(long requestId) {
        InFlightRequest request = inFlight.get(requestId);
        return request != null && request.boundUnproven;
    }

    @Override
    public void discoveryHeard(long at) {
        if (reads != null) {
            reads.discoveryHeard(at);
        }
    }

    /** Adds the statistics of bounded reads, unless they are disabled. */
    Map<String, Long> addStatistics(long now, Map<String, Long> statistics) {
        if (reads != null) {
            statistics.put("pins_held", (long) reads.stickyReplicas());
            statistics.put(
                    "pins_uncertain_ms",
                    reads.clockUncertaintyUs(now) < 0
                            ? -1
                            : (reads.clockUncertaintyUs(now) + US_PER_MS - 1) / US_PER_MS);
            statistics.put("pins_board", (long) reads.discoveryState(now));
            statistics.put("pins_clock_steps", reads.clockSteps());
            statistics.put("pins_spoilt", reads.malformedMessages());
        }
        return statistics;
    }
}
