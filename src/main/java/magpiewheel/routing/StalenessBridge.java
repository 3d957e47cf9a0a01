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
 * Carries words between the module and the pinned reads: the module's nodes, copies and purges as the pins know them,
 * and their answers back. It decides nothing about a request; off, it answers as if no hint had come.
 */
final class StalenessBridge implements BoundedReads {
    /** us; stands for the fresh time of a class whose copies never grow too old. */
    private static final long UNLIMITED_FRESH_US = Long.MAX_VALUE / 8;

    private static final long UNKNOWN_AGE = -1;
    private static final long US_PER_MS = 1_000;
    private final BoundedStalenessReads reads;
    private final RouterTopology place;
    private final Map<Long, InFlightRequest> flights;
    /** The last request that went to the origin itself since its clock was not known. */
    private InFlightRequest originReader;
    /** Purges by the origin's clock: the module's own are by this front's. */
    private final PurgeLog purges = new PurgeLog();

    /** Driven by the fleet; nothing is made where it is off. */
    StalenessBridge(
            boolean on,
            long now,
            RouterTopology place,
            FleetProtocols fleet,
            Map<Long, InFlightRequest> flights,
            RoutingActions out) {
        this.flights = flights;
        this.place = place;
        reads = !on
                ? null
                : new BoundedStalenessReads(
                        now, place.routerId(), place.zone(), fleet.membershipView(), out::sendToPeer);
        if (reads != null) {
            fleet.add(new FleetProtocols.PeerProtocol(
                    BoundedStalenessReads::isOurs, reads::heard, at -> reads.due(), reads::tick));
        }
    }

    // ---------------------------------------------------------------- what the module asks

    /** What a request's copy must keep to; writes ignore hints. */
    private StalenessBound boundOf(long now, InFlightRequest flight) {
        if (reads == null
                || flight.requestClass.write()
                || !flight.request.hint().bounds()) {
            return StalenessBound.NONE;
        }
        long fresh = flight.requestClass.freshUs();
        return reads.bound(
                now,
                flight.request.hint(),
                fresh > 0 ? fresh : UNLIMITED_FRESH_US,
                fresh > 0 ? flight.requestClass.staleGraceUs() : 0,
                purgedUs(flight));
    }

    /**
     * Sets what a request's copy must keep to. Where only the origin can prove it, it goes there as if another copy had
     * not done; while one such request is out, others are refused.
     */
    void applyHint(long now, InFlightRequest flight) {
        flight.setBound(boundOf(now, flight));
        if (flight.noMoreAttempts || !requiresOriginResponse(now, flight)) {
            return;
        }
        flight.unproven = true;
        flight.noMoreAttempts = !BoundedStalenessReads.mayLearn(originReader == null ? 0 : originReader.openAttempts());
        originReader = flight.noMoreAttempts ? originReader : flight;
    }

    /** Whether a request's copy must come from the origin itself, and by no fill that is under way. */
    boolean requiresOriginResponse(long now, InFlightRequest flight) {
        return reads != null && reads.byOriginOnly(now, flight.bound);
    }

    /** The tighter of an age limit of the module's (0: none) and what the bound leaves a node. */
    long tightenAgeLimit(long now, InFlightRequest flight, Endpoint target, long limit) {
        long bound = !flight.bound.asks()
                ? 0
                : requiresOriginResponse(now, flight)
                        ? 1
                        : reads.freshUs(now, flight.request.objectId(), flight.request.part(), target.id, flight.bound);
        return limit == 0 || bound > 0 && bound < limit ? bound : limit;
    }

    /**
     * The cache to ask first of those that are fit: the pinned one, or one whose copy will do, else the module's
     * holder.
     */
    Endpoint preferredCache(long now, InFlightRequest flight, List<Endpoint> fit, Endpoint holder) {
        if (reads == null || flight.request.hint().session() == 0 && !flight.bound.asks()) {
            return holder;
        }
        List<Endpoint> order = new ArrayList<>(fit);
        order.sort(RendezvousHash.order(flight.request.objectId()));
        if (holder != null && order.remove(holder)) {
            order.add(0, holder);
        }
        long picked = reads.pick(
                now,
                flight.request.hint(),
                flight.request.objectId(),
                flight.request.part(),
                order.stream().map(node -> node.id).toList(),
                flight.bound);
        return picked == 0
                ? holder
                : order.stream().filter(node -> node.id == picked).findFirst().orElse(holder);
    }

    /**
     * Whether the pins themselves name a cache for a request: as where its session reads, or for a copy that will do.
     */
    boolean prefers(long now, InFlightRequest flight, Endpoint cache) {
        return cache != null && preferredCache(now, flight, List.of(cache), null) == cache;
    }

    /** Whether what a node is known to hold can do for a request. */
    boolean mayHoldAcceptableCopy(long now, InFlightRequest flight, Endpoint node) {
        return !flight.bound.asks()
                || node == null
                || reads.satisfies(now, flight.request.objectId(), flight.request.part(), node.id, flight.bound);
    }

    /** Whether a copy keeps to the bound, and is none from before a purge that was told since. */
    boolean accepts(long now, InFlightRequest flight, long mintedUs) {
        return !flight.bound.asks() || mintedUs >= purgedUs(flight) && reads.admits(now, flight.bound, mintedUs);
    }

    /** The earliest that a copy may be minted after all purges; one of a purge's own ms may be from before it. */
    private long purgedUs(InFlightRequest flight) {
        long purge = purges.lastPurge(flight.request.objectId(), flight.request.group());
        return purge == Long.MIN_VALUE ? 0 : purge + US_PER_MS;
    }

    @Override
    public DeliveryDecision evaluateDelivery(long now, long request, long mintedMs) {
        InFlightRequest flight = flights.get(request);
        return reads == null || flight == null ? DeliveryDecision.UNCHANGED : decide(now, flight, mintedMs);
    }

    /** A copy that does not keep to the bound is passed on with its age, or not at all. */
    private DeliveryDecision decide(long now, InFlightRequest flight, long mintedMs) {
        long minted = Math.max(0, mintedMs) * US_PER_MS;
        long mark = BoundedStalenessReads.mark(minted, flight.requestClass.write());
        if (accepts(now, flight, minted)) {
            return new DeliveryDecision(true, mark, 0);
        }
        if (flight.bound.strict()) {
            return DeliveryDecision.WITHHELD;
        }
        // A copy from before a purge that was told since keeps to the bound as it was.
        long aged = reads.aged(now, flight.bound, minted);
        return new DeliveryDecision(true, mark, aged == 0 ? UNKNOWN_AGE : aged);
    }

    /** How long a client that was refused for its hint is to stay away. */
    long retryAfterUs(long now) {
        return reads.pauseUs(now);
    }

    // ---------------------------------------------------------------- what the pins are told

    @Override
    public void responseReceived(long request, int index, long at, CacheStatus note, long mintedMs) {
        InFlightRequest flight = flights.get(request);
        if (reads == null || flight == null || mintedMs <= 0) {
            return;
        }
        Attempt attempt = flight.attempts.get(index);
        if (flight.requestClass.write()) {
            reads.wrote(attempt.sentAt, at, mintedMs * US_PER_MS);
            return;
        }
        boolean past = !attempt.target.isCache();
        boolean own = attempt.source.isOrigin() && (past || filled(note));
        reads.fetched(attempt.sentAt, at, mintedMs * US_PER_MS, own && (!past || attempt.source == attempt.target));
    }

    private static boolean filled(CacheStatus note) {
        return note == CacheStatus.FILLED || note == CacheStatus.FILLED_BY_ORIGIN;
    }

    /** An attempt has ended; a copy that came with a miss would not do, and says only who holds it. */
    void attemptEnded(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome) {
        if (reads == null || outcome.originTimeMs() <= 0 || flight.requestClass.write()) {
            return;
        }
        ReadHint hint = outcome.result() == AttemptResult.OK ? flight.request.hint() : ReadHint.NONE;
        long minted = outcome.originTimeMs() * US_PER_MS;
        if (attempt.target.isCache()) {
            reads.served(now, hint, flight.request.objectId(), flight.request.part(), attempt.target.id, minted);
        }
        if (filled(outcome.cacheStatus()) && attempt.source.isParent()) {
            reads.served(
                    now, ReadHint.NONE, flight.request.objectId(), flight.request.part(), attempt.source.id, minted);
        }
    }

    /** A purge was made. */
    void objectsPurged(long now, Purge purge) {
        if (reads != null) {
            // Without the origin's own time, this front's stands for it.
            long at = purge.originTimeMs() > 0 ? purge.originTimeMs() * US_PER_MS : now - purge.agoUs();
            purges.add(at, purge);
            reads.purged(now, purge.objectId(), purge.group(), at);
        }
    }

    /** The list changed; of the nodes, the caches of the own branch matter. */
    void endpointsChanged(long now, Collection<Endpoint> all) {
        if (reads != null) {
            reads.nodes(
                    now,
                    all.stream()
                            .filter(node -> node.state != EndpointState.REMOVED
                                    && node.isCache()
                                    && node.info.zone() == place.zone())
                            .map(node -> new Replica(
                                    node.id,
                                    node.state == EndpointState.DRAINING,
                                    node.info.weight(),
                                    node.info.startedUs()))
                            .toList());
        }
    }

    @Override
    public boolean isUnproven(long request) {
        InFlightRequest flight = flights.get(request);
        return flight != null && flight.unproven;
    }

    @Override
    public void discoveryHeard(long at) {
        if (reads != null) {
            reads.board(at);
        }
    }

    /** Adds what operators are shown to what there is; nothing where pins are off. */
    Map<String, Long> addStatistics(long now, Map<String, Long> all) {
        if (reads != null) {
            all.put("pins_held", (long) reads.pinned());
            all.put(
                    "pins_uncertain_ms",
                    reads.errorUs(now) < 0 ? -1 : (reads.errorUs(now) + US_PER_MS - 1) / US_PER_MS);
            all.put("pins_board", (long) reads.step(now));
            all.put("pins_clock_steps", reads.clockSteps());
            all.put("pins_spoilt", reads.spoilt());
        }
        return all;
    }
}
