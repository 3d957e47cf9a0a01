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
    private static final long EVER_US = Long.MAX_VALUE / 8;

    private static final int PURGES = 20_000;
    private static final long UNKNOWN_AGE = -1;
    private static final long US_A_MS = 1_000;
    private final BoundedStalenessReads pins;
    private final RouterTopology place;
    private final Map<Long, InFlightRequest> flights;
    /** The last request that went to the origin itself since its clock was not known. */
    private InFlightRequest learner;
    /** Purges by the origin's clock: the module's own are by this front's. */
    private final PurgeLog purges = new PurgeLog(PURGES);

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
        pins = !on
                ? null
                : new BoundedStalenessReads(now, place.routerId(), place.zone(), fleet.view(), out::sendToPeer);
        if (pins != null) {
            fleet.add(new FleetProtocols.Speaker(
                    BoundedStalenessReads::isOurs, pins::heard, at -> pins.due(), pins::tick));
        }
    }

    // ---------------------------------------------------------------- what the module asks

    /** What a request's copy must keep to; writes ignore hints. */
    private StalenessBound bound(long now, InFlightRequest flight) {
        if (pins == null
                || flight.requestClass.write()
                || !flight.request.hint().bounds()) {
            return StalenessBound.NONE;
        }
        long fresh = flight.requestClass.freshUs();
        return pins.bound(
                now,
                flight.request.hint(),
                fresh > 0 ? fresh : EVER_US,
                fresh > 0 ? flight.requestClass.staleGraceUs() : 0,
                purgedUs(flight));
    }

    /**
     * Sets what a request's copy must keep to. Where only the origin can prove it, it goes there as if another copy had
     * not done; while one such request is out, others are refused.
     */
    void keep(long now, InFlightRequest flight) {
        flight.setBound(bound(now, flight));
        if (flight.noMoreAttempts || !byOriginOnly(now, flight)) {
            return;
        }
        flight.unproven = true;
        flight.noMoreAttempts = !BoundedStalenessReads.mayLearn(learner == null ? 0 : learner.openAttempts());
        learner = flight.noMoreAttempts ? learner : flight;
    }

    /** Whether a request's copy must come from the origin itself, and by no fill that is under way. */
    boolean byOriginOnly(long now, InFlightRequest flight) {
        return pins != null && pins.byOriginOnly(now, flight.bound);
    }

    /** The tighter of an age limit of the module's (0: none) and what the bound leaves a node. */
    long ageLimit(long now, InFlightRequest flight, Endpoint target, long limit) {
        long bound = !flight.bound.asks()
                ? 0
                : byOriginOnly(now, flight)
                        ? 1
                        : pins.freshUs(now, flight.request.objectId(), flight.request.part(), target.id, flight.bound);
        return limit == 0 || bound > 0 && bound < limit ? bound : limit;
    }

    /**
     * The cache to ask first of those that are fit: the pinned one, or one whose copy will do, else the module's
     * holder.
     */
    Endpoint pick(long now, InFlightRequest flight, List<Endpoint> fit, Endpoint holder) {
        if (pins == null || flight.request.hint().session() == 0 && !flight.bound.asks()) {
            return holder;
        }
        List<Endpoint> order = new ArrayList<>(fit);
        order.sort(RendezvousHash.order(flight.request.objectId()));
        if (holder != null && order.remove(holder)) {
            order.add(0, holder);
        }
        long picked = pins.pick(
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
    boolean picks(long now, InFlightRequest flight, Endpoint cache) {
        return cache != null && pick(now, flight, List.of(cache), null) == cache;
    }

    /** Whether what a node is known to hold can do for a request. */
    boolean satisfies(long now, InFlightRequest flight, Endpoint node) {
        return !flight.bound.asks()
                || node == null
                || pins.satisfies(now, flight.request.objectId(), flight.request.part(), node.id, flight.bound);
    }

    /** Whether a copy keeps to the bound, and is none from before a purge that was told since. */
    boolean keeps(long now, InFlightRequest flight, long mintedUs) {
        return !flight.bound.asks() || mintedUs >= purgedUs(flight) && pins.admits(now, flight.bound, mintedUs);
    }

    /** The earliest that a copy may be minted after all purges; one of a purge's own ms may be from before it. */
    private long purgedUs(InFlightRequest flight) {
        long purge = purges.lastPurge(flight.request.objectId(), flight.request.group());
        return purge == Long.MIN_VALUE ? 0 : purge + US_A_MS;
    }

    @Override
    public DeliveryDecision evaluateDelivery(long now, long request, long mintedMs) {
        InFlightRequest flight = flights.get(request);
        return pins == null || flight == null ? DeliveryDecision.UNCHANGED : passing(now, flight, mintedMs);
    }

    /** A copy that does not keep to the bound is passed on with its age, or not at all. */
    private DeliveryDecision passing(long now, InFlightRequest flight, long mintedMs) {
        long minted = Math.max(0, mintedMs) * US_A_MS;
        long mark = BoundedStalenessReads.mark(minted, flight.requestClass.write());
        if (keeps(now, flight, minted)) {
            return new DeliveryDecision(true, mark, 0);
        }
        if (flight.bound.strict()) {
            return DeliveryDecision.WITHHELD;
        }
        // A copy from before a purge that was told since keeps to the bound as it was.
        long aged = pins.aged(now, flight.bound, minted);
        return new DeliveryDecision(true, mark, aged == 0 ? UNKNOWN_AGE : aged);
    }

    /** How long a client that was refused for its hint is to stay away. */
    long pauseUs(long now) {
        return pins.pauseUs(now);
    }

    // ---------------------------------------------------------------- what the pins are told

    @Override
    public void responseReceived(long request, int index, long at, CacheStatus note, long mintedMs) {
        InFlightRequest flight = flights.get(request);
        if (pins == null || flight == null || mintedMs <= 0) {
            return;
        }
        Attempt attempt = flight.attempts.get(index);
        if (flight.requestClass.write()) {
            pins.wrote(attempt.sentAt, at, mintedMs * US_A_MS);
            return;
        }
        boolean past = !attempt.target.isCache();
        boolean own = attempt.source.isOrigin() && (past || filled(note));
        pins.fetched(attempt.sentAt, at, mintedMs * US_A_MS, own && (!past || attempt.source == attempt.target));
    }

    private static boolean filled(CacheStatus note) {
        return note == CacheStatus.FILLED || note == CacheStatus.FILLED_BY_ORIGIN;
    }

    /** An attempt has ended; a copy that came with a miss would not do, and says only who holds it. */
    void learn(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome) {
        if (pins == null || outcome.originTimeMs() <= 0 || flight.requestClass.write()) {
            return;
        }
        ReadHint hint = outcome.result() == AttemptResult.OK ? flight.request.hint() : ReadHint.NONE;
        long minted = outcome.originTimeMs() * US_A_MS;
        if (attempt.target.isCache()) {
            pins.served(now, hint, flight.request.objectId(), flight.request.part(), attempt.target.id, minted);
        }
        if (filled(outcome.cacheStatus()) && attempt.source.isParent()) {
            pins.served(
                    now, ReadHint.NONE, flight.request.objectId(), flight.request.part(), attempt.source.id, minted);
        }
    }

    /** A purge was made. */
    void purged(long now, Purge purge) {
        if (pins != null) {
            // Without the origin's own time, this front's stands for it.
            long at = purge.originTimeMs() > 0 ? purge.originTimeMs() * US_A_MS : now - purge.agoUs();
            purges.add(at, purge);
            pins.purged(now, purge.objectId(), purge.group(), at);
        }
    }

    /** The list changed; of the nodes, the caches of the own branch matter. */
    void nodes(long now, Collection<Endpoint> all) {
        if (pins != null) {
            pins.nodes(
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
        if (pins != null) {
            pins.board(at);
        }
    }

    /** Adds what operators are shown to what there is; nothing where pins are off. */
    Map<String, Long> figures(long now, Map<String, Long> all) {
        if (pins != null) {
            all.put("pins_held", (long) pins.pinned());
            all.put("pins_uncertain_ms", pins.errorUs(now) < 0 ? -1 : (pins.errorUs(now) + US_A_MS - 1) / US_A_MS);
            all.put("pins_board", (long) pins.step(now));
            all.put("pins_clock_steps", pins.clockSteps());
            all.put("pins_spoilt", pins.spoilt());
        }
        return all;
    }
}
