package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.membership.MembershipView;
import magpiewheel.region.RegionConfig;
import magpiewheel.region.SlowStartProfile;

/**
 * The decision module of magpiewheel: every decision, table and tuned value. Its interface is Director.java.
 *
 * <ul>
 *   <li>May a request go out at all: effects, time, retry budget. A write passes through to the origin.
 *   <li>A read goes to the holder that a fresh hint names, else to the first fit cache in rendezvous order.
 *   <li>A fill comes from the parent that leads the region, else the faster of two, else the origin.
 *   <li>Purges known here limit the age. What an answer says makes hints, health and peer messages.
 * </ul>
 */
public final class RequestRouter extends FleetRouter {
    // --- what is remembered ---
    /** Objects remembered; some minutes of a busy location's objects, a few MB. */
    private static final int OBJECTS = 20_000;
    /** Purges of single objects remembered; far more than come within the time they matter. */
    private static final int PURGES = 20_000;
    /** Directors of this location remembered; a bound against senders that make up numbers. */
    private static final int PEERS = 1_024;
    /** us; a hint's life. A copy that nobody asked for this long may have been dropped unseen. */
    private static final long HINT_US = 10_000_000;
    // --- health ---
    /** Weight of the newest sample in every EWMA: about the last ten answers count. */
    private static final double EWMA_WEIGHT = 0.1;
    /** Share of failures from which a node may be ejected: half is beyond what any sound node shows. */
    private static final double FAILING = 0.4;
    /** An ejected node fails at this many times the rate of its like: else the trouble is not its own. */
    private static final double FAILING_RATIO = 2;
    /** Share of a tier that stays in use whatever its health, so that no tier is ejected whole. */
    private static final double KEEP_IN_USE = 0.5;
    /** us; first and longest ejection, doubling between: short against the seconds that troubles last. */
    private static final long BENCH_US = 1_000_000;

    private static final long BENCH_MOST_US = 8_000_000;
    /** us, attempts: a node silent so long while so many are overdue is dead, whatever the list says. */
    private static final long SILENT_US = 400_000;

    private static final int SILENT_ATTEMPTS = 3;
    // --- load ---
    /** In hand at a cache over the mean of its like before a holder spills (bounded-load hashing). */
    private static final double SPILL = 1.25;
    /** Adaptive concurrency limits (AIMD), in attempts: first value; least, a small machine's cores. */
    private static final double LIMIT_FIRST = 16;

    private static final double LIMIT_LEAST = 4;
    /** Fills at first over what the link carries at a client's pace: the aim leaves time for some more. */
    private static final double LINK_FIRST = 2;
    /** Added to a limit in use by an answer in time, taken off by a late one: one in eleven may be late. */
    private static final double LIMIT_UP = 0.08;

    private static final double LIMIT_DOWN = 0.8;
    /** Pressure at which the least worth per cost is shed, and the most: 1, the limit, in the mean. */
    private static final double SHED_FIRST = 0.5;

    private static final double SHED_LAST = 1.5;
    /** Answered share of the largest over their class's below which they get at least this rank. */
    private static final double SIZE_FLOOR = 0.7;

    private static final double OWED_RANK = 0.75;
    /** Share of late fetches at which the origin counts as in trouble, and of fills that still try it. */
    private static final double ORIGIN_LATE = 0.5;

    private static final double ORIGIN_TRIAL = 0.15;
    /** Misses taken to be among attempts for what is not known to be held, before any was seen. */
    private static final double MISS_SHARE = 0.4;

    private static final double MISS_LEAST = 0.1;
    /** Share of a class's aim by which parents' latencies must differ to count as different. */
    private static final double EQUAL_LATENCY = 0.25;
    /** us; lateness not renewed for so long is forgotten: else one bad spell would shun a source for good. */
    private static final long LATENCY_US = 2_000_000;
    /** Retries a request earns for the budget, and the most saved up: retries never double the load. */
    private static final double RETRY_EARN = 0.2;

    private static final double RETRY_MOST = 20;
    // --- fills on their way ---
    /** Fills remembered, some seconds' worth; requests that may wait; looks of one, spread over its time. */
    private static final int FILLS = 4_096;

    private static final int WAITING = 64;
    private static final int LOOKS = 5;
    // --- own copies ---
    /** Share of the aim in which the own link must be through: the way to the client takes the rest. */
    private static final double OWN_IN_TIME = 0.8;
    /** us; taken off the age limit of an own copy, and off the deadline, against rounding and clocks. */
    private static final long OWN_MARGIN_US = 20_000;
    // --- cold nodes ---
    /** Share of the cold budget that is used: the work of an attempt is an estimate. */
    private static final double COLD_SAFETY = 0.6;
    /** Transfers at once that a cache of unknown size is taken to carry when warm: a small machine's. */
    private static final double LOW_CAPACITY = 3;
    /** Share of the locations' links that parents are sized for at least, all together. */
    private static final double PARENT_SHARE = 0.6;
    // --- time ---
    /** us; beat of the module's own timer and of the messages to peers: short against a transfer. */
    private static final long BEAT_US = 100_000;
    /** Peers told in a beat: more are told in turn less often, so that messages grow with requests only. */
    private static final int PEERS_A_BEAT = 6;
    /** us; a silent peer is remembered for so long: what it tells then is known to be late. */
    private static final long PEER_US = 10_000_000;
    /** Most beats from one turn to the next. */
    private static final int TURN_MOST = 50;
    /** Turns after which the load a silent peer told is forgotten: three messages lost in a row. */
    private static final int SILENT_BEATS = 3;
    /** us; taken off each purge limit against rounding. */
    private static final long PURGE_MARGIN_US = 1_000;
    /** us; advice to a refused client: long enough for a queue to drain, short against its patience. */
    private static final long BACKOFF_US = 300_000;
    /** us; time before discovery is asked again after a failure. */
    private static final long ASK_AGAIN_US = 500_000;
    /** Handles of the timers. */
    private static final long BEAT = 0;

    private static final long ASK = 1;
    private static final long FLEET = 2;
    private static final long WAIT = 3;

    private final RoutingSettings set;
    private final RouterTopology place;
    private final SafetyLimits guards;
    private final RequestLimits limits;
    private final RoutingActions out;
    private final SplittableRandom random;
    private final TreeMap<Long, Endpoint> nodes = new TreeMap<>();
    private final List<Endpoint> caches = new ArrayList<>();
    private final List<Endpoint> parents = new ArrayList<>();
    private final List<Endpoint> origins = new ArrayList<>();
    private final LruMap<ObjectRecord> objects = new LruMap<>(OBJECTS);
    private final PurgeLog purges = new PurgeLog(PURGES);
    private final PeerReports peers;
    private final List<HolderHint> news = new ArrayList<>();
    private final FillCoalescer underway = new FillCoalescer(FILLS);
    private final TransferTimes transfers;
    private final DemandDistribution demand = new DemandDistribution();
    private final Ewma missShare = new Ewma(EWMA_WEIGHT / 5);
    private final LateRatio originLate = new LateRatio(EWMA_WEIGHT, LATENCY_US);
    private final LateRatio heldLate = new LateRatio(EWMA_WEIGHT, LATENCY_US);
    private final long purgeMattersUs;
    /** How long a plan holds: it is written before a drain or a purge told meanwhile would forbid it. */
    private final long beginWithinUs;
    /** Fills that this location's link and its sources carry in time, and those thought to be out. */
    private double fillLimit;
    /** Fills that this location's link carries at a client's pace: so many are never too many for it. */
    private final double linkFlows;

    private double fillsOut;
    private boolean started;
    private boolean subscribed;
    private int beats;
    private double retries = RETRY_MOST;
    /** When the router's own link is through with the copies that it was given. */
    private long ownLinkFree;

    /** Starts an instance that knows only its settings; its first list follows. Regions may be null. */
    public RequestRouter(
            RoutingSettings set,
            long seed,
            RoutingActions out,
            MembershipConfig setup,
            RegionConfig regions,
            boolean pins) {
        super(set, out, setup, regions, pins, FLEET);
        this.set = set;
        this.out = out;
        place = set.topology();
        guards = set.safetyLimits();
        limits = set.limits();
        random = new SplittableRandom(seed);
        transfers = new TransferTimes(set.requestClasses(), place.transferKbPerS(), EWMA_WEIGHT / 5, EWMA_WEIGHT);
        peers = new PeerReports(place.zone(), PEERS, PEER_US, nodes);
        beginWithinUs = Math.max(BEAT_US, Math.min(guards.drainNoticeUs(), guards.purgeNoticeUs()) - BEAT_US);
        linkFlows = Math.max(LIMIT_LEAST, place.transfersOfOwnLink());
        fillLimit = LINK_FIRST * linkFlows;
        // A fill that began before the purge may land after the caches dropped their older copies.
        purgeMattersUs = guards.purgeCompletionUs() + set.longestDeadlineUs();
    }

    // ---------------------------------------------------------------- the list of nodes

    @Override
    public void endpointsChanged(long now, EndpointListMode mode, List<EndpointInfo> members) {
        if (!started) {
            started = true;
            out.setTimer(now + random.nextLong(BEAT_US), BEAT);
            fleet.start(now);
        }
        if (mode == EndpointListMode.FAILED) {
            subscribed = false;
            out.setTimer(now + ASK_AGAIN_US, ASK);
            return;
        }
        if (mode != EndpointListMode.DELTA) {
            nodes.values().forEach(node -> node.state = EndpointState.REMOVED);
        }
        for (EndpointInfo member : members) {
            Endpoint node = nodes.computeIfAbsent(
                    member.id(),
                    id -> new Endpoint(id, RendezvousHash.mix(id), EWMA_WEIGHT, LATENCY_US, guards.overloadWindowUs()));
            if (node.info == null || node.info.startedUs() != member.startedUs()) {
                node.restarted(LIMIT_FIRST);
            }
            node.update(member, place);
        }
        // One that comes back within the time in which it falls still bears what it was sent.
        nodes.values().removeIf(node -> node.state == EndpointState.REMOVED && node.isIdle(now));
        refill(caches, node -> node.isCacheOf(place.zone()));
        refill(parents, Endpoint::isParent);
        refill(origins, Endpoint::isOrigin);
        pinning.nodes(now, nodes.values());
        leading.listed(now, nodes.values(), this::capacity);
        underway.forget(fill -> !fill.cache().isReady());
        resume(now, flight -> !flight.awaitedCache.isReady());
        keepSubscribed();
    }

    private void keepSubscribed() {
        if (set.mustSubscribe() && !subscribed) {
            subscribed = true;
            out.subscribe(true);
        }
    }

    private void refill(List<Endpoint> list, Predicate<Endpoint> which) {
        list.clear();
        nodes.values().stream().filter(Endpoint::isReady).filter(which).forEach(list::add);
    }

    // ---------------------------------------------------------------- requests and their ends

    @Override
    public void requestArrived(long now, RoutingRequest request, LocalCopy own) {
        if (request.requestClass() < 0
                || request.requestClass() >= set.requestClasses().size()) {
            throw new IllegalArgumentException("request names the unknown profile " + request.requestClass());
        }
        RequestClass profile = set.requestClasses().get(request.requestClass());
        long budget = request.timeBudgetUs() > 0 ? request.timeBudgetUs() : profile.deadlineUs();
        InFlightRequest flight = new InFlightRequest(request, profile, now, now + budget, own);
        pinning.keep(now, flight);
        retries = Math.min(RETRY_MOST, retries + RETRY_EARN);
        flights.put(request.id(), flight);
        if (!profile.write()) {
            known(request.objectId()).requested(request);
            transfers.asked(request);
            demand.add(density(flight), transfers.ownUs(request));
        }
        advance(now, flight);
    }

    private ObjectRecord known(long object) {
        return objects.computeIfAbsent(object, key -> new ObjectRecord());
    }

    /** Sends the next attempt of a request or ends it; it waits only for a fill that is on its way. */
    private void advance(long now, InFlightRequest flight) {
        Permit permit = permit(now, flight);
        int cost = flight.attempts.size() > flight.cachedOnlyAttempts ? 1 : 0;
        boolean left = now < flight.deadline && flight.attempts.size() < limits.maxAttempts();
        if (permit.resend() && !flight.noMoreAttempts && left && retries >= cost) {
            retries -= cost;
            if (send(now, flight, permit)) {
                return;
            }
        }
        if (flight.openAttempts() == 0) {
            end(now, flight, permit);
        }
    }

    private void end(long now, InFlightRequest flight, Permit permit) {
        boolean anyAge = !flight.bound.strict();
        if (serveOwn(now, flight, flight.deadline - OWN_MARGIN_US, flight.requestClass.staleGraceUs(), anyAge)) {
            return;
        }
        flight.completed = true;
        transfers.ended(flight.request, false);
        if (permit.refuse()) {
            long pause = flight.unproven ? pinning.pauseUs(now) : BACKOFF_US + random.nextLong(BACKOFF_US);
            out.reject(flight.request.id(), limits.retryAfterUs(pause));
        } else {
            out.fail(flight.request.id());
        }
        flights.remove(flight.request.id());
    }

    /** Whether a request may be sent again (only to nodes like {@code group}, if there is one) or refused. */
    record Permit(boolean resend, boolean refuse, Endpoint group) {}

    /** The one place that judges effects: from the attempts' outcomes, the class's kind and its window. */
    private Permit permit(long now, InFlightRequest flight) {
        Attempt ran = flight.firstThatMayHaveRun();
        RequestClass profile = flight.requestClass;
        if (profile.idempotency() == Idempotency.IDEMPOTENT || ran == null) {
            return new Permit(limits.mayHedge() || flight.openAttempts() == 0, true, null);
        }
        if (profile.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return new Permit(false, false, null);
        }
        boolean anywhere = profile.keyScope() == IdempotencyKeyScope.ALL;
        boolean remembered = now < repeatableUntil(flight) - BEAT_US;
        return new Permit(remembered && flight.openAttempts() == 0, anywhere, anywhere ? null : ran.target);
    }

    /** Until when a further attempt may begin: while the key of what may have run is remembered. */
    private long repeatableUntil(InFlightRequest flight) {
        Attempt ran = flight.requestClass.idempotency() == Idempotency.KEYED ? flight.firstThatMayHaveRun() : null;
        return ran == null ? Long.MAX_VALUE : ran.sentAt + flight.requestClass.idempotencyWindowUs();
    }

    // ---------------------------------------------------------------- where an attempt goes

    /** Where an attempt goes, how likely it is a fill, whether it asks only for what is held, and at last. */
    private record Route(Endpoint target, Endpoint source, double fill, boolean look, boolean last) {}

    /** Sends an attempt, answers with the own copy or lets the request wait; false if none of that can be. */
    private boolean send(long now, InFlightRequest flight, Permit permit) {
        boolean write = flight.requestClass.write();
        Endpoint target =
                write ? passThrough(now, flight, permit) : cacheFor(now, flight, permit, !set.mayBypassCaches());
        boolean held = write || holds(now, flight, target);
        // What no cache is known to hold the router serves itself: a fill costs more, and comes later.
        if (!held && serveOwn(now, flight, now + (long) (OWN_IN_TIME * aimUs(flight)), 0, false)) {
            return true;
        }
        Endpoint first = held ? null : askedFirst(now, flight, target);
        if (first != null && now < flight.nextLookupAt) {
            underway.await(flight, first);
            out.setTimer(flight.nextLookupAt, WAIT);
            return true;
        }
        Endpoint cache = first != null ? first : target;
        boolean past = cache == null && !write && set.mayBypassCaches();
        Endpoint straight = past && room(flight, 1) ? sourceFor(now, flight) : null;
        boolean passes = write || straight != null;
        cache = past && !passes ? cacheFor(now, flight, permit, true) : cache;
        Route route = passes
                ? passed(now, flight, write ? target : straight)
                : routed(now, flight, cache, first != null, held);
        if (route != null) {
            begin(now, flight, route);
        }
        return route != null;
    }

    /** Whether a cache is known to hold a copy that will do. */
    private boolean holds(long now, InFlightRequest flight, Endpoint cache) {
        ObjectRecord known = known(flight.request.objectId());
        boolean there = flight.request.part() <= known.highestPartCached && cache == holder(now, known);
        return cache != null && there && pinning.satisfies(now, flight, cache);
    }

    /** What no cache serves, or null: a miss comes from the origin, or any parent where there is none. */
    private Route passed(long now, InFlightRequest flight, Endpoint target) {
        double fill = flight.requestClass.write() ? 0 : 1;
        Endpoint origin = origins.isEmpty() ? null : origins.get(0);
        Endpoint source = target == null || origin != null ? origin : parentFor(now, flight, true);
        boolean goes = target != null && source != null && (fill == 0 || letsUp(now, flight, fill));
        return goes ? new Route(target, source, fill, false, false) : null;
    }

    /** What a cache serves, or null. */
    private Route routed(long now, InFlightRequest flight, Endpoint cache, boolean first, boolean held) {
        Endpoint source = sourceFor(now, flight);
        if (cache == null || source == null) {
            return null;
        }
        double fill = held ? 0 : Math.max(MISS_LEAST, missShare.or(MISS_SHARE));
        // Beyond the limit a fill is refused, but what is thought to be missing may be held all the same.
        boolean last = !first && fill > 0 && (!room(flight, fill) || !letsUp(now, flight, fill));
        boolean look = first || last;
        return new Route(cache, look ? cache : source, look ? 0 : fill, look, last);
    }

    private boolean room(InFlightRequest flight, double fill) {
        return fills() + fill <= fillLimit * shedRank(flight);
    }

    private boolean letsUp(long now, InFlightRequest flight, double fill) {
        double work = transfers.workUs(flight.request.requestClass());
        return leading.letsUp(now, flight.request.objectId(), fill * work);
    }

    private void begin(long now, InFlightRequest flight, Route route) {
        RoutingRequest request = flight.request;
        boolean read = !flight.requestClass.write();
        int keep = !read ? 0 : known(request.objectId()).requests > 1 ? 2 : 1;
        boolean spare = route.fill > 0
                && route.source.isParent()
                && originInTrouble(now)
                && random.nextDouble() >= ORIGIN_TRIAL / fleet.view().sharers(now);
        // A preferred bound is given up where a fill may not go out for it, and with the second try of one.
        boolean untried = flight.attempts.size() == flight.cachedOnlyAttempts && !route.last && !spare;
        boolean tight = flight.bound.strict() || flight.bound.asks() && untried;
        long limit = read ? ageLimit(now, flight) : 0;
        long maxAge = tight ? pinning.ageLimit(now, flight, route.target, limit) : limit;
        boolean join = set.cachesJoinFills() && read && !flight.unproven;
        boolean renew = flight.requestClass.freshUs() > 0 && read && !tight;
        long beginBy = Math.min(now + beginWithinUs, repeatableUntil(flight));
        Attempt attempt = new Attempt(route.target, route.source, now, keep, route.fill);
        flight.attempts.add(attempt);
        flight.cachedOnlyAttempts += route.look ? 1 : 0;
        flight.nextLookupAt = Long.MAX_VALUE;
        flight.noMoreAttempts |= spare || route.last;
        double work = transfers.carefulUs(request.requestClass());
        // A write only waits here for the origin: counted, a slow one would crowd hits out of sound caches.
        attempt.start(now, work, read ? 1 : 0);
        fillsOut += attempt.fillProbability;
        leading.began(now, attempt, request.objectId(), work, transfers.ownUs(request));
        if (route.fill > 0 && keep > 0 && !spare && route.target.isCache()) {
            underway.sent(request, route.target, now);
        }
        long source = route.source.id;
        AttemptPlan plan = AttemptPlan.builder(source)
                .retentionRank(keep)
                .deadlineUs(flight.deadline)
                .joinFill(join)
                .cachedOnly(spare)
                .revalidate(renew)
                .maxAgeUs(maxAge)
                .startByUs(beginBy)
                .build();
        out.startAttempt(request.id(), route.target.id, plan);
    }

    /** The cache that a read first asks for what it holds: where its part was sent or would be filled. */
    private Endpoint askedFirst(long now, InFlightRequest flight, Endpoint target) {
        boolean triesLeft = flight.attempts.size() + 2 < limits.maxAttempts();
        boolean done = flight.nextLookupAt == Long.MAX_VALUE;
        if (set.cachesJoinFills()
                || flight.requestClass.idempotency() != Idempotency.IDEMPOTENT
                || done
                || !triesLeft) {
            return null;
        }
        FillCoalescer.Fill fill = underway.of(flight.request);
        boolean word = fill != null && now - fill.since() < HINT_US && !pinning.picks(now, flight, target);
        Endpoint told = word ? fill.cache() : target;
        Endpoint cache = flight.attempts.isEmpty() ? told : flight.lastAttempt().target;
        boolean usable =
                cache != null && cache.isReady() && fit(now, cache) && cache.inFlight() < cache.concurrencyLimit;
        if (usable && coldRoom(now, cache, transfers.carefulUs(flight.request.requestClass()))) {
            return cache;
        }
        return flight.attempts.isEmpty() ? target : null;
    }

    /** Lets those of the waiting requests go on. */
    private void resume(long now, Predicate<InFlightRequest> which) {
        for (InFlightRequest flight : underway.released(which)) {
            flight.nextLookupAt = Math.min(flight.nextLookupAt, now);
            advance(now, flight);
        }
    }

    /** Answers from the router's own copy if it is young enough and the link is through with it in time. */
    private boolean serveOwn(long now, InFlightRequest flight, long latest, long graceUs, boolean anyAge) {
        if (flight.localCopy == null || flight.openAttempts() > 0) {
            return false;
        }
        // Not by ageLimit: caches drop older copies some time after a purge, a copy of one's own stays.
        RoutingRequest request = flight.request;
        boolean purged = flight.localCopyFrom - OWN_MARGIN_US <= purges.lastPurge(request.objectId(), request.group());
        long fresh = flight.requestClass.freshUs();
        boolean old = fresh > 0 && now - flight.localCopyFrom > fresh + graceUs - OWN_MARGIN_US;
        long free = Math.max(now, ownLinkFree) + flight.localCopy.linkUs();
        boolean keeps = anyAge || pinning.keeps(now, flight, flight.localCopyFrom);
        if (purged || old || !keeps || Math.max(free, now + flight.localCopy.transferUs()) > latest) {
            return false;
        }
        ownLinkFree = free;
        flight.completed = true;
        transfers.ended(request, true);
        out.serveLocalCopy(request.id());
        flights.remove(request.id());
        return true;
    }

    /** The aim grows with the request's own sending time, but never past its end. */
    private double aimUs(InFlightRequest flight) {
        double aim = flight.requestClass.latencyObjectiveUs()
                + flight.requestClass.objectiveStretch() * transfers.ownUs(flight.request);
        return Math.min(aim, flight.deadline - flight.arrivedAt);
    }

    /** Fetches from the origin are late and fills that parents hold are not: else the link is full. */
    private boolean originInTrouble(long now) {
        return originLate.at(now) > Math.max(ORIGIN_LATE, FAILING_RATIO * heldLate.at(now));
    }

    /** The holder that pins or a fresh hint name, else the first in rendezvous order that has room. */
    private Endpoint cacheFor(long now, InFlightRequest flight, Permit permit, boolean unfit) {
        ObjectRecord known = known(flight.request.objectId());
        List<Endpoint> order = fitCaches(now, flight, permit, unfit);
        if (order.isEmpty()) {
            return null;
        }
        double mean = 1 + Endpoint.mean(order, Endpoint::inFlight);
        double rank = shedRank(flight);
        Endpoint holder = pinning.pick(now, flight, order, holder(now, known));
        if (holder != null && order.contains(holder) && carries(holder, mean, rank)) {
            return holder;
        }
        order.sort(RendezvousHash.order(flight.request.objectId()));
        for (Endpoint node : order) {
            if (carries(node, mean, rank)) {
                return node;
            }
        }
        return null;
    }

    /** A hot or slow cache spills: past its own limit, or far above its like. */
    private static boolean carries(Endpoint node, double mean, double rank) {
        return node.inFlight() < Math.min(node.concurrencyLimit * rank, Math.max(LIMIT_LEAST, SPILL * mean));
    }

    /** Fills thought to be out for this location: its own and those that peers told. */
    private double fills() {
        return fillsOut + peers.fills();
    }

    /** Pressure up to which a request is let in: by the worth for its own sending time, the least first. */
    private double shedRank(InFlightRequest flight) {
        double rank = demand.below(density(flight));
        boolean owed = transfers.fallsShort(flight.request, SIZE_FLOOR);
        return SHED_FIRST + (SHED_LAST - SHED_FIRST) * (owed ? Math.max(OWED_RANK, rank) : rank);
    }

    /** A copy of what is asked for often serves more than this request: its fill earns as much more. */
    private double density(InFlightRequest flight) {
        double worth = flight.requestClass.priorityWeight() / transfers.ownUs(flight.request);
        return flight.requestClass.write() ? Double.MAX_VALUE : worth;
    }

    private Endpoint holder(long now, ObjectRecord known) {
        Endpoint holder = known.holder;
        if (holder == null || !holder.isReady() || known.holderSeenAt < holder.info.startedUs()) {
            return null;
        }
        boolean fresh = now - known.holderSeenAt < HINT_US && known.holderSeenAt > purges.lastGroupPurge(known.group);
        return fresh ? holder : null;
    }

    @Override
    public long selectCache(long now, int zone, long object) {
        double work = transfers.longestReadUs();
        List<Endpoint> fit = new ArrayList<>(nodes.values());
        fit.removeIf(node -> !node.isReady() || !node.isCacheOf(zone));
        fit.removeIf(node -> !coldRoom(now, node, work) || !fit(now, node));
        ObjectRecord known = objects.get(object);
        Endpoint holder = known == null ? null : holder(now, known);
        Endpoint found = fit.contains(holder) ? holder : fit.isEmpty() ? null : RendezvousHash.first(fit, object);
        if (found != null) {
            // The client goes there by itself: its work counts against a cold cache's budget all the same.
            found.recentWork.add(now, work);
        }
        return found == null ? NO_CACHE : found.id;
    }

    @Override
    public int avoidedEndpoints(long now) {
        return (int) nodes.values().stream().filter(node -> node.isAvoided(now)).count();
    }

    private List<Endpoint> fitCaches(long now, InFlightRequest flight, Permit permit, boolean unfit) {
        double work = transfers.carefulUs(flight.request.requestClass());
        List<Endpoint> able = new ArrayList<>(caches);
        able.removeIf(node -> !flight.sharesKeyScope(permit.group(), node) || !coldRoom(now, node, work));
        List<Endpoint> fit = new ArrayList<>(able);
        fit.removeIf(node -> !fit(now, node) || flight.failedAt(node));
        return unfit && fit.isEmpty() ? able : fit;
    }

    private Endpoint passThrough(long now, InFlightRequest flight, Permit permit) {
        if (set.mayBypassCaches() && !origins.isEmpty() && flight.sharesKeyScope(permit.group(), origins.get(0))) {
            return origins.get(0);
        }
        List<Endpoint> fit = fitCaches(now, flight, permit, true);
        return fit.isEmpty() ? null : Collections.min(fit, Comparator.comparingInt(Endpoint::inFlight));
    }

    /** A fit parent unless the origin is sooner or surer, else the origin while it takes it, else any one. */
    private Endpoint sourceFor(long now, InFlightRequest flight) {
        Endpoint parent = flight.unproven ? null : parentFor(now, flight, false);
        Endpoint origin = origins.isEmpty() ? null : origins.get(0);
        boolean room = origin != null && (parents.isEmpty() || origin.fillsInFlight < origin.concurrencyLimit);
        if (parent != null && !(room && behind(now, parent, origin, flight))) {
            return parent;
        }
        return room ? origin : parentFor(now, flight, true);
    }

    /** Whether a parent is later than the aim allows, and later than an origin that is not in trouble. */
    private boolean behind(long now, Endpoint parent, Endpoint origin, InFlightRequest flight) {
        double late = parent.fillLatency.or(now, 0);
        return late > flight.requestClass.latencyObjectiveUs()
                && late > origin.fillLatency.or(now, 0)
                && !originInTrouble(now);
    }

    /** The fit parent that leads; else the one of two with the lower latency, unheard ones being average. */
    private Endpoint parentFor(long now, InFlightRequest flight, boolean unfit) {
        double work = transfers.carefulUs(flight.request.requestClass());
        List<Endpoint> fit = new ArrayList<>(parents);
        fit.removeIf(node -> !coldRoom(now, node, work));
        fit.removeIf(node -> !unfit && (!fit(now, node) || flight.failedFrom(node)));
        Endpoint leader = fit.isEmpty() ? null : leading.among(now, fit, flight.request.objectId(), work);
        if (fit.isEmpty() || leader != null) {
            return unfit || pinning.satisfies(now, flight, leader) ? leader : null;
        }
        List<Endpoint> heard =
                fit.stream().filter(node -> node.fillLatency.heard(now)).toList();
        double average = Endpoint.mean(heard, node -> node.fillLatency.or(now, 0));
        // Draws are random over objects but fixed for each, so that it is not kept at every parent in turn.
        Endpoint one = RendezvousHash.first(fit, flight.request.objectId());
        fit.remove(one);
        Endpoint two = fit.isEmpty() ? one : RendezvousHash.first(fit, flight.request.objectId());
        double gain = one.fillLatency.or(now, average) - two.fillLatency.or(now, average);
        return gain > EQUAL_LATENCY * flight.requestClass.latencyObjectiveUs() ? two : one;
    }

    // ---------------------------------------------------------------- purges

    @Override
    public void objectsPurged(long now, Purge purge) {
        purges.add(now - purge.agoUs(), purge);
        pinning.purged(now, purge);
        if (purge.objectId() != 0) {
            objects.remove(purge.objectId());
        }
        underway.forget(fill -> fill.since() <= purges.lastPurge(fill.object(), fill.group()));
    }

    /** Oldest copy that will do; 0 stands for the class's own fresh time, so a limit is never below 1. */
    private long ageLimit(long now, InFlightRequest flight) {
        long purge = purges.lastPurge(flight.request.objectId(), flight.request.group());
        if (purge == Long.MIN_VALUE || now - purge > purgeMattersUs) {
            return 0;
        }
        long limit = Math.max(1, now - purge - PURGE_MARGIN_US);
        return flight.requestClass.freshUs() > 0 ? Math.min(limit, flight.requestClass.freshUs()) : limit;
    }

    // ---------------------------------------------------------------- cold nodes

    /** Whether a node that started lately can bear this much more: this director's share of its budget. */
    private boolean coldRoom(long now, Endpoint node, double work) {
        SlowStartProfile cold = guards.slowStart(node.isParent());
        long since = now - node.info.startedUs();
        boolean warm = node.info.startedUs() <= 0 || since >= cold.warmUpUs() + cold.tipAfterUs();
        if (warm || node.isOrigin()) {
            return true;
        }
        // The fronts of its location share a cache's budget among them: the others leave it to them.
        if (node.isCache() && node.info.zone() != place.zone()) {
            return false;
        }
        MembershipView view = fleet.view();
        double sharers = node.isParent() ? view.sharers(now) : view.sharersIn(now, node.info.zone());
        double bears = COLD_SAFETY * cold.bears(since) * capacity(node);
        double share = bears / sharers;
        double spent = node.recentWork.at(now);
        return spent + work <= share || spent == 0 && drawn(now, node, cold) * work < share;
    }

    /** From 0 to 1, anew in each window: less than one request is one in a part of the windows, else none. */
    private double drawn(long now, Endpoint node, SlowStartProfile cold) {
        long span = Math.max(1, cold.tipAfterUs());
        long front = RendezvousHash.mix(place.routerId());
        long window = Math.floorDiv(now + Math.floorMod(front, span), span);
        return RendezvousHash.part(front ^ RendezvousHash.mix(window ^ node.hash));
    }

    /** Transfers at once of a warm node, guessed low: by its weight where told, for a parent by the links. */
    private double capacity(Endpoint node) {
        if (set.weightSource() == WeightSource.NOMINAL || set.weightSource() == WeightSource.ROUGH) {
            return Math.min(node.info.weight(), Math.max(LOW_CAPACITY, node.info.weight() * COLD_SAFETY));
        }
        double share = PARENT_SHARE * place.transfersOfAllLinks() / Math.max(1, parents.size());
        return node.isParent() ? Math.max(LOW_CAPACITY, share) : LOW_CAPACITY;
    }

    // ---------------------------------------------------------------- health

    /** Whether a node may get ordinary work; one whose ejection ended gets one request at a time first. */
    private boolean fit(long now, Endpoint node) {
        if (now < node.ejectedUntil) {
            return false;
        }
        return !node.onProbation || node.ownInFlight + node.fillsInFlight == 0;
    }

    /** Takes one good or bad sign of a node, and ejects it when it fails far more than its like. */
    private void sign(long now, Endpoint node, boolean bad) {
        node.failureRate.add(bad ? 1 : 0);
        if (bad && (node.onProbation || failsMost(node))) {
            eject(now, node, false);
        } else if (!bad && node.onProbation) {
            node.readmit();
        }
    }

    private boolean failsMost(Endpoint node) {
        List<Endpoint> others = new ArrayList<>(like(node));
        others.remove(node);
        double rate = Endpoint.mean(others, other -> other.failureRate.or(0));
        return node.failureRate.or(0) > Math.max(FAILING, FAILING_RATIO * rate);
    }

    private List<Endpoint> like(Endpoint node) {
        return node.isParent() ? parents : node.isCache() ? caches : origins;
    }

    private void eject(long now, Endpoint node, boolean sure) {
        List<Endpoint> like = like(node);
        Predicate<Endpoint> used = other -> other != node && now >= other.ejectedUntil;
        boolean enough = like.stream().filter(used).count() >= KEEP_IN_USE * like.size();
        if (now >= node.ejectedUntil && (enough || sure && set.mayBypassCaches())) {
            node.eject(now, Math.min(BENCH_MOST_US, Math.max(BENCH_US, 2 * node.ejectionUs)));
        }
    }

    /** Ejects silent nodes and calls off what is out there: the list tells late of what vanished. */
    private void judgeSilence(long now) {
        nodes.values().forEach(node -> node.overdueAttempts = 0);
        List<InFlightRequest> held = new ArrayList<>(flights.values());
        for (InFlightRequest flight : held) {
            Endpoint blamed = blamed(now, flight);
            if (blamed != null && ++blamed.overdueAttempts >= (blamed.onProbation ? 1 : SILENT_ATTEMPTS)) {
                eject(now, blamed, true);
            }
        }
        for (InFlightRequest flight : held) {
            Endpoint blamed = blamed(now, flight);
            if (blamed != null && now < blamed.ejectedUntil && limits.mayCancel()) {
                flight.lastAttempt().sourceAtFault = blamed != flight.lastAttempt().target;
                out.cancelAttempt(flight.request.id(), flight.attempts.size() - 1);
            }
        }
    }

    /** The silent node behind an overdue attempt: its cache, or a parent where that speaks; else null. */
    private Endpoint blamed(long now, InFlightRequest flight) {
        Attempt last = flight.lastAttempt();
        boolean out = last != null && last.open && !flight.requestClass.write();
        if (!out || now - last.sentAt < 2 * transfers.ownUs(flight.request) + SILENT_US) {
            return null;
        }
        Endpoint node = now - last.target.lastAnsweredAt > SILENT_US ? last.target : last.source;
        return node.isOrigin() || now - node.lastAnsweredAt < SILENT_US * (node.isParent() ? 2 : 1) ? null : node;
    }

    // ---------------------------------------------------------------- outcomes

    @Override
    public void streamStarted(long now, long request, int attempt) {
        Optional.ofNullable(flights.get(request)).ifPresent(flight -> flight.completed = true);
    }

    @Override
    public void clientDisconnected(long now, long request) {
        Optional.ofNullable(flights.get(request)).ifPresent(this::close);
    }

    /** The request is over: what is still out of it is called off and remembered until it ends. */
    private void close(InFlightRequest flight) {
        flight.completed = true;
        underway.release(flight);
        if (flight.openAttempts() == 0) {
            flights.remove(flight.request.id());
        } else if (limits.mayCancel()) {
            flight.openAttemptNumbers().forEach(number -> out.cancelAttempt(flight.request.id(), number));
        }
    }

    @Override
    public void attemptEnded(long now, AttemptOutcome outcome) {
        InFlightRequest flight = flights.get(outcome.requestId());
        Attempt attempt = flight == null ? null : flight.openAttempt(outcome.attempt());
        if (attempt == null) {
            return;
        }
        attempt.end(outcome.result(), flight.requestClass.write() ? 0 : 1);
        // A time-out (attempts end at the deadline) or a moot attempt says that the client's time is up.
        if (outcome.result() == AttemptResult.EXPIRED || outcome.result() == AttemptResult.TIMEOUT) {
            flight.deadline = now;
        }
        fillsOut -= attempt.fillProbability;
        leading.ended(now, attempt, flight.request.objectId(), outcome, transfers.ownUs(flight.request));
        learn(now, flight, attempt, outcome);
        if (outcome.requestCompleted() || flight.completed) {
            close(flight);
        } else {
            advance(now, flight);
        }
        if (attempt.fillProbability > 0) {
            underway.ended(flight.request, attempt.target);
            resume(now, other -> other.awaitedCache == attempt.target && other.isForSamePart(flight.request));
        }
    }

    private void learn(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome) {
        pinning.learn(now, flight, attempt, outcome);
        if (outcome.result() != AttemptResult.TIMEOUT && outcome.result() != AttemptResult.CANCELLED) {
            boolean refused =
                    outcome.result() == AttemptResult.UNREACHABLE || outcome.result() == AttemptResult.CONNECTION_LOST;
            attempt.target.attemptEnded(now, !refused);
            if (attempt.target.refusedConnects >= SILENT_ATTEMPTS) {
                eject(now, attempt.target, true);
            }
        }
        switch (outcome.result()) {
            case OK -> served(now, flight, attempt, outcome);
            case MISS -> missed(now, flight, attempt, outcome);
            // No sign of a bad node; the first time the holder may be asked again.
            case CORRUPT -> attempt.sourceAtFault = flight.attempts.size() == 1;
            case CANCELLED, EXPIRED -> {}
            default -> failed(now, flight, attempt, outcome);
        }
    }

    private void served(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome) {
        sign(now, attempt.target, false);
        flight.attempts.stream().filter(a -> a.ambiguousError).forEach(a -> blame(now, a));
        transfers.ended(flight.request, true);
        if (flight.requestClass.write()) {
            return;
        }
        boolean hit = outcome.cacheStatus().isHit() && attempt.target.isCache();
        noteTime(now, flight, attempt, outcome, hit);
        if (outcome.cacheStatus() == CacheStatus.FILLED || outcome.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN) {
            attempt.source.lastAnsweredAt = now;
            sign(now, attempt.source, false);
            attempt.source.fillLatency.add(now, outcome.waitUs(transfers.ownUs(flight.request)));
        }
        if (attempt.retentionRank > 0 && attempt.target.isCache()) {
            noteHolder(now, flight, attempt.target, hit);
        }
    }

    /** Another node served what failed here; where no note tells whose fault it was, its source may be it. */
    private void blame(long now, Attempt failed) {
        sign(now, failed.target, true);
        if (!set.detailedCacheStatus() && failed.source != failed.target) {
            sign(now, failed.source, true);
        }
    }

    /** A holder stays one while its hint holds: else the other parts follow whoever took a spill over. */
    private void noteHolder(long now, InFlightRequest flight, Endpoint cache, boolean hit) {
        ObjectRecord known = known(flight.request.objectId());
        Endpoint holder = holder(now, known);
        if (holder == null || holder == cache) {
            known.cached(cache, now, flight.request.part());
            if (!hit) {
                news.add(HolderHint.of(flight.request, cache.id, 0));
            }
        }
    }

    /** A hit's time speaks of the cache, any other's of the fills. */
    private void noteTime(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome, boolean hit) {
        if (hit) {
            transfers.took(flight.request, outcome.durationUs(), attempt.target.inFlight() < LIMIT_LEAST);
        }
        boolean late = outcome.durationUs() > aimUs(flight);
        if (attempt.fillProbability > 0 && attempt.target.isCache()) {
            missShare.add(hit ? 0 : 1);
        }
        if (!hit && outcome.cacheStatus() != CacheStatus.UNKNOWN) {
            (outcome.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN ? originLate : heldLate).add(now, late);
        }
        adapt(now, attempt, hit, late);
    }

    /** Adaptive concurrency: a late hit is its cache's fault, a late fill the link's or a direct origin's. */
    private void adapt(long now, Attempt attempt, boolean hit, boolean late) {
        Endpoint node = attempt.target;
        if (hit) {
            node.concurrencyLimit = adapted(node.concurrencyLimit, LIMIT_LEAST, node.inFlight(), late);
            return;
        }
        if (!late || !originInTrouble(now)) {
            fillLimit = adapted(fillLimit, linkFlows, fills(), late);
        }
        if (origins.contains(attempt.source) && attempt.target.isCache()) {
            attempt.source.concurrencyLimit =
                    adapted(attempt.source.concurrencyLimit, LIMIT_LEAST, attempt.source.fillsInFlight, late);
        }
    }

    /** Each answer counts for the whole location: the directors see a part each and average their limits. */
    private double adapted(double limit, double least, double inUse, boolean late) {
        double up = inUse + 1 > limit / 2 ? LIMIT_UP : 0;
        return Math.max(least, limit + (late ? -LIMIT_DOWN : up) * (1 + peers.size()));
    }

    private void missed(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome) {
        CacheStatus note = outcome.cacheStatus();
        // A copy that would not do is a miss of who held it; a second one ends the request.
        boolean unfit = outcome.originTimeMs() != 0;
        attempt.sourceAtFault = !unfit || !note.isHit();
        // A cache that lacks a part tells whether it is on its way there: if not it is not asked again.
        long left = (long) (flight.arrivedAt + aimUs(flight) - transfers.ownUs(flight.request)) - now;
        boolean lacks = attempt.source == attempt.target && !unfit;
        boolean comes = lacks && note == CacheStatus.COALESCED && left > 0;
        boolean waits = comes && flight.cachedOnlyAttempts < LOOKS && underway.waiting() < WAITING;
        flight.nextLookupAt = waits ? now + left / (LOOKS - flight.cachedOnlyAttempts) : Long.MAX_VALUE;
        flight.noMoreAttempts = !waits && (flight.noMoreAttempts || unfit && flight.unproven);
        flight.unproven |= unfit;
        if (unfit || note != CacheStatus.COALESCED) {
            // Parts follow the holder of the first, which need not have those behind it.
            ObjectRecord known = known(flight.request.objectId());
            known.holder = lacks && flight.request.part() > known.highestPartCached ? known.holder : null;
            underway.lacks(flight.request, attempt.target);
        }
    }

    /** Blames the source where the note says so, the cache otherwise. */
    private void failed(long now, InFlightRequest flight, Attempt attempt, AttemptOutcome outcome) {
        CacheStatus note = outcome.cacheStatus();
        if (note == CacheStatus.SOURCE_REJECTED || note == CacheStatus.SOURCE_UNREACHABLE) {
            attempt.sourceAtFault = true;
            sign(now, attempt.source, true);
            return;
        }
        if (note == CacheStatus.ORIGIN_FAILED
                || outcome.result() == AttemptResult.TIMEOUT && flight.requestClass.write()) {
            originLate.add(now, true);
        }
        if (note == CacheStatus.ORIGIN_FAILED || note == CacheStatus.NO_CAPACITY) {
            adapt(now, attempt, false, true);
            return;
        }
        if (outcome.result() == AttemptResult.TIMEOUT || outcome.result() == AttemptResult.REJECTED) {
            if (!flight.requestClass.write()) {
                adapt(now, attempt, attempt.fillProbability == 0, true);
            }
            if (outcome.result() == AttemptResult.REJECTED
                    || outcome.durationUs() >= flight.requestClass.latencyObjectiveUs()) {
                return;
            }
        }
        attempt.ambiguousError = outcome.result() == AttemptResult.ERROR;
        if (!attempt.ambiguousError) {
            sign(now, attempt.target, true);
        }
        // The request may be at fault: a node is blamed once another serves it, and two errors end it.
        flight.noMoreAttempts |=
                flight.attempts.stream().filter(a -> a.ambiguousError).count() > 1;
    }

    // ---------------------------------------------------------------- timers, probes, peers

    @Override
    public void timerExpired(long now, long handle) {
        if (handle == BEAT) {
            out.setTimer(now + BEAT_US, BEAT);
            beat(now);
        } else if (handle == ASK) {
            keepSubscribed();
        } else if (handle == FLEET) {
            fleet.tick(now);
        } else if (handle == WAIT) {
            resume(now, flight -> flight.nextLookupAt <= now);
        }
    }

    private void beat(long now) {
        judgeSilence(now);
        if (limits.mayMessagePeers() && place.routers() > 1) {
            peers.meet(now, fleet.view().heardIn(place.zone()), SILENT_BEATS * turn() * BEAT_US);
            if (beats % turn() == 0) {
                tellPeers(now);
                news.clear();
            }
        }
        beats++;
    }

    /** News and load go to the location's directors; a call to all now and then lets new ones be met. */
    private void tellPeers(long now) {
        List<EndpointLoad> loads = PeerMessageCodec.loads(caches);
        List<HolderHint> sent = underway.takeNews(now);
        double late = originLate.at(now);
        PeerMessage message = new PeerMessage(place.zone(), now, fillsOut, fillLimit, late, loads, sent, news);
        List<byte[]> messages = PeerMessageCodec.encode(message);
        peers.all().forEach(peer -> messages.forEach(m -> out.sendToPeer(peer, m)));
    }

    /** Beats from one message to the next. */
    private int turn() {
        return Math.min(TURN_MOST, 1 + peers.size() / PEERS_A_BEAT);
    }

    @Override
    public void peerMessageReceived(long now, long sender, byte[] bytes) {
        if (fleet.heard(now, sender, bytes)) {
            return;
        }
        PeerReports.Heard heard = peers.heard(now, sender, PeerMessageCodec.decode(bytes));
        if (heard == null) {
            return;
        }
        heard.message().holders().forEach(held -> heardHolder(heard.at() - held.ageMs() * 1000L, held));
        heard.message().fillsStarted().forEach(sent -> heardSent(heard.at() - sent.ageMs() * 1000L, sent));
        if (heard.first()) {
            heardLimits(now, heard.message());
        }
    }

    private void heardLimits(long now, PeerMessage message) {
        originLate.told(now, message.originLateRatio());
        double weight = 1.0 / (1 + peers.size());
        fillLimit += weight * (message.fillLimit() - fillLimit);
        for (EndpointLoad load : message.loads()) {
            Endpoint node = nodes.get(load.endpointId());
            if (node != null) {
                node.concurrencyLimit += weight * (load.concurrencyLimit() - node.concurrencyLimit);
            }
        }
    }

    private void heardHolder(long at, HolderHint holder) {
        if (heardSent(at, holder)) {
            known(holder.objectId()).reportedByPeer(nodes.get(holder.endpointId()), at, holder.group());
        }
    }

    /** What a peer told counts of a ready cache of this location, if nothing was purged since. */
    private boolean heardSent(long at, HolderHint sent) {
        Endpoint node = nodes.get(sent.endpointId());
        boolean ours = node != null && node.isReady() && node.isCacheOf(place.zone());
        boolean counts = ours && at > purges.lastPurge(sent.objectId(), sent.group());
        if (counts && sent.part() != PeerMessageCodec.NO_PART) {
            underway.told(new FillCoalescer.Fill(sent.objectId(), sent.part(), sent.group(), node, at));
        }
        return counts;
    }
}
