package magpiewheel.staleness;

import java.util.List;
import magpiewheel.membership.MembershipView;

/**
 * Bounded-staleness reads of one router: computes the staleness bound of a read, selects a preferred replica, and
 * verifies each copy before it is delivered. Driven by events and by calls of {@link #tick} at {@link #due}; never
 * blocks.
 *
 * <p>Times are microseconds of this router's Unix clock; origin times, marks and purge times are by the origin's clock.
 * Not thread-safe: one thread at a time.
 */
public final class BoundedStalenessReads {
    /** Capacity of the replica index. */
    private static final int MAX_REPLICAS = 1 << 15;
    /** Capacity of the table of sticky replicas. */
    private static final int MAX_STICKY_REPLICAS = 1 << 14;
    /** A replica's known copy expires if it was not observed for this long. */
    private static final long REPLICA_IDLE_EXPIRY_US = 120_000_000;
    /** A sticky replica expires if it did not serve its session for this long. */
    private static final long STICKY_REPLICA_IDLE_EXPIRY_US = 600_000_000;
    /** A mark further than this beyond the latest possible origin time cannot be reached while a client waits. */
    private static final long MAX_MARK_LEAD_US = 2_000_000;
    /** Retry-after time of a read that is rejected for its bound: one discovery heartbeat. */
    private static final long RETRY_AFTER_US = 300_000;
    /** Longer retry-after time while discovery is cut off. */
    private static final long CUT_OFF_RETRY_AFTER_US = 1_000_000;

    private final OriginClock originClock = new OriginClock();
    private final DiscoveryFreshness discovery;
    private final ReplicaIndex replicas = new ReplicaIndex(MAX_REPLICAS, REPLICA_IDLE_EXPIRY_US);
    private final StickyReplicaTable stickyReplicas =
            new StickyReplicaTable(MAX_STICKY_REPLICAS, STICKY_REPLICA_IDLE_EXPIRY_US);
    private final ReplicaGossip gossip;

    /** Creates the state of a router that starts; replicas are set by {@link #replicasChanged}. */
    public BoundedStalenessReads(long now, int routerId, int zone, MembershipView membership, GossipSender sender) {
        discovery = new DiscoveryFreshness(now);
        gossip = new ReplicaGossip(now, routerId, zone, membership, sender, originClock, replicas, stickyReplicas);
    }

    // ---------------------------------------------------------------- staleness bounds

    /**
     * Returns the staleness bound that a hint sets. The age is also limited by the fresh time and the grace of the
     * request's class; if both are 0, nothing of the class is cached and the origin itself answers, which satisfies any
     * hint, so there is no bound. {@code purgeUs} is the time of the object's last purge by the origin's clock.
     */
    public StalenessBound boundOf(long now, ReadHint hint, long freshUs, long graceUs, long purgeUs) {
        if (!hint.isBounded() || freshUs + graceUs <= 0) {
            return StalenessBound.NONE;
        }
        DiscoveryFreshness.State discoveryState = hint.strict() ? discovery.state(now) : DiscoveryFreshness.State.HEARD;
        long allowedAgeUs = hint.atMostUs() == 0 ? 0 : Math.min(hint.atMostUs(), freshUs + graceUs);
        if (discoveryState != DiscoveryFreshness.State.HEARD) {
            allowedAgeUs = allowedAgeUs == 0
                    ? DiscoveryFreshness.SILENT_AFTER_US
                    : Math.min(allowedAgeUs, DiscoveryFreshness.SILENT_AFTER_US);
        }
        long notBeforeUs = Math.max(hint.afterMs() * 1000, purgeUs);
        boolean clockKnown = originClock.isKnown(now);
        boolean markAhead = clockKnown && notBeforeUs > originClock.latest(now) + MAX_MARK_LEAD_US;
        boolean provable = discoveryState != DiscoveryFreshness.State.CUT_OFF && !markAhead;
        long oldestAcceptableUs = allowedAgeUs == 0
                ? notBeforeUs
                : Math.max(notBeforeUs, (clockKnown ? originClock.latest(now) : now) - allowedAgeUs);
        return new StalenessBound(oldestAcceptableUs, provable, hint.strict(), notBeforeUs, now, allowedAgeUs, freshUs);
    }

    /** Returns the maximum age in us that an endpoint may answer with, at least 1; 0 for a read without a bound. */
    public long maxAgeUs(long now, StalenessBound bound) {
        if (!bound.isBounded()) {
            return 0;
        }
        long allowedAgeUs = originClock.earliest(now) - bound.oldestAcceptableUs();
        return Math.max(1, bound.freshUs() > 0 ? Math.min(allowedAgeUs, bound.freshUs()) : allowedAgeUs);
    }

    /**
     * Returns the maximum age in us for one endpoint: 1 if its known copy violates the bound, so that it does not serve
     * that copy even if its own clock makes the copy look young enough.
     */
    public long maxAgeUs(long now, long object, int part, long endpoint, StalenessBound bound) {
        long originTimeUs = bound.isBounded() ? replicas.originTimeOf(now, object, part, endpoint) : 0;
        return originTimeUs > 0 && !accepts(now, bound, originTimeUs) ? 1 : maxAgeUs(now, bound);
    }

    /**
     * Whether a copy provably satisfies the bound. This is the only proof, made for every copy before it is delivered.
     * It uses what is known of the origin's clock by now: a copy that the origin issued after the request arrived is
     * accepted even if the clock was unknown at arrival.
     */
    public boolean accepts(long now, StalenessBound bound, long originTimeUs) {
        if (!bound.isBounded()) {
            return true;
        }
        if (originTimeUs <= 0 || originTimeUs < bound.notBeforeUs() || bound.strict() && !bound.provable()) {
            return false;
        }
        return bound.maxAgeUs() == 0
                || originClock.isKnown(now)
                        && originTimeUs >= originClock.latest(bound.requestedAt()) - bound.maxAgeUs();
    }

    /**
     * Whether a strict read can only be proven by a response that the origin gives to the request itself, because the
     * origin's clock is not known yet.
     */
    public boolean requiresOriginResponse(long now, StalenessBound bound) {
        return bound.strict() && bound.maxAgeUs() > 0 && !originClock.isKnown(now);
    }

    /**
     * Whether another read that {@linkplain #requiresOriginResponse requires a response of the origin} may be sent.
     * Only one may be in flight at a time, since one response makes the origin's clock known for all reads.
     */
    public static boolean mayReadOrigin(int readsInFlight) {
        return readsInFlight == 0;
    }

    /** Returns the retry-after time in us of a read that was rejected for its bound. */
    public long retryAfterUs(long now) {
        return discovery.state(now) == DiscoveryFreshness.State.CUT_OFF ? CUT_OFF_RETRY_AFTER_US : RETRY_AFTER_US;
    }

    /**
     * Returns the mark in ms to put into a reply, 0 if the origin time is unknown. The mark of a write is 1 ms later
     * than its origin time, since a copy issued in the same ms may predate the write.
     */
    public static long markOf(long originTimeUs, boolean write) {
        return originTimeUs <= 0 ? 0 : originTimeUs / 1000 + (write ? 1 : 0);
    }

    /**
     * Returns an upper bound of the age in ms of a copy that violates its staleness bound, including the uncertainty of
     * the origin's clock; 0 if the copy satisfies the bound, -1 if its age is unknown.
     */
    public long violatingAgeMs(long now, StalenessBound bound, long originTimeUs) {
        if (accepts(now, bound, originTimeUs)) {
            return 0;
        }
        return originTimeUs <= 0 || !originClock.isKnown(now)
                ? -1
                : Math.max(1, (originClock.latest(bound.requestedAt()) - originTimeUs + 999) / 1000);
    }

    // ---------------------------------------------------------------- replica selection

    /**
     * Returns the replica to prefer over the given order of candidates, or 0 to keep that order. A session's sticky
     * replica comes first unless its known copy violates the bound, then the first candidate whose known copy satisfies
     * the bound.
     */
    public long preferredReplica(
            long now, ReadHint hint, long object, int part, List<Long> candidates, StalenessBound bound) {
        if (hint.session() != 0) {
            long sticky = stickyReplicas.replicaOf(now, hint.session(), object);
            long originTimeUs =
                    sticky == 0 || !candidates.contains(sticky) ? -1 : replicas.originTimeOf(now, object, part, sticky);
            if (originTimeUs == 0 || originTimeUs > 0 && accepts(now, bound, originTimeUs)) {
                return sticky;
            }
        }
        if (!bound.isBounded()) {
            return 0;
        }
        for (int i = 0; i < candidates.size(); i++) {
            long endpoint = candidates.get(i);
            long originTimeUs = replicas.originTimeOf(now, object, part, endpoint);
            if (originTimeUs > 0
                    && accepts(now, bound, originTimeUs)
                    && (i == 0 || stickyReplicas.admitsMigration(now, endpoint))) {
                return endpoint;
            }
        }
        return 0;
    }

    /**
     * Whether the copy that a cache or a leading parent is known to hold satisfies the bound; if no copy is known, true
     * except for strict reads.
     */
    public boolean mayBeAcceptable(long now, long object, int part, long endpoint, StalenessBound bound) {
        long originTimeUs = replicas.originTimeOf(now, object, part, endpoint);
        return originTimeUs == 0 ? !bound.strict() : accepts(now, bound, originTimeUs);
    }

    // ---------------------------------------------------------------- events

    /**
     * Records that an endpoint served a read, with the origin time of its copy (0 if unknown): updates the replica
     * index and the session's sticky replica, and queues changes for gossip.
     */
    public void responseServed(long now, ReadHint hint, long object, int part, long endpoint, long originTimeUs) {
        if (originTimeUs > 0) {
            originClock.raiseLowerBound(now, originTimeUs);
            if (replicas.observed(now, object, part, endpoint, originTimeUs)
                    && (hint.isBounded() || hint.session() != 0)) {
                gossip.replicaObserved(object, part, endpoint, originTimeUs);
            }
        }
        if (hint.session() != 0 && stickyReplicas.assign(now, hint.session(), object, endpoint)) {
            gossip.stickyReplicaAssigned(hint.session(), object, endpoint);
        }
    }

    /**
     * Updates the bounds of the origin's clock from a response. {@code viaOrigin} may be true only if the origin issued
     * the copy for this request: a fill from the origin that did not join another fill in flight. Other copies may have
     * been issued before the request was sent and give only a lower bound.
     */
    public void responseReceived(long sentUs, long receivedUs, long originTimeUs, boolean viaOrigin) {
        if (originTimeUs <= 0) {
            return;
        }
        originClock.raiseLowerBound(receivedUs, originTimeUs);
        if (viaOrigin) {
            originClock.lowerUpperBound(sentUs, originTimeUs + OriginClock.ORIGIN_TIME_RESOLUTION_US);
        }
    }

    /**
     * Updates the lower bound of the origin's clock from the response to a write; writes ignore sticky replicas. There
     * is no upper bound: a write with an idempotency key that was executed before may be answered with the time of that
     * execution, which can precede the sending of this attempt.
     */
    public void writeAnswered(long sentUs, long receivedUs, long originTimeUs) {
        responseReceived(sentUs, receivedUs, originTimeUs, false);
    }

    /**
     * Removes copies of a purged object that are older than the purge, by the origin's clock. Object 0 means that a
     * group was purged; nothing is removed then, since the bound of a read includes the purge time of its group.
     */
    public void objectPurged(long now, long object, int group, long purgedAtUs) {
        if (object != 0) {
            replicas.removeOlder(object, purgedAtUs);
        }
    }

    /** Sets the caches of the zone as discovery lists them; a cache that is not listed counts as removed. */
    public void replicasChanged(long now, List<Replica> listed) {
        stickyReplicas.replicasChanged(now, listed).forEach(replicas::forget);
    }

    /** Records that a frame of discovery was received, which may be empty. */
    public void discoveryHeard(long now) {
        discovery.heard(now);
    }

    // ---------------------------------------------------------------- statistics

    /** Returns the number of sticky replicas held, one per session and object. */
    public int stickyReplicas() {
        return stickyReplicas.totalAssigned();
    }

    /** Returns the width in us of the interval that contains the origin's clock; -1 if it is unbounded. */
    public long clockUncertaintyUs(long now) {
        return originClock.widthUs(now);
    }

    /** Returns how missing discovery frames limit strict reads: 0 no limit, 1 silent, 2 cut off. */
    public int discoveryState(long now) {
        return discovery.state(now).ordinal();
    }

    /** Returns how often contradicting clock bounds showed that a clock was stepped. */
    public long clockSteps() {
        return originClock.clockSteps();
    }

    /** Returns the number of malformed datagrams received. */
    public long malformedMessages() {
        return gossip.malformed();
    }

    // ---------------------------------------------------------------- messages

    /** Whether a datagram belongs to the gossip of bounded-staleness reads. */
    public static boolean isStalenessMessage(byte[] message) {
        return message.length > 0 && message[0] == ReplicaGossip.PROTOCOL_BYTE;
    }

    /** Handles a datagram of another router. */
    public void messageReceived(long now, int from, byte[] message) {
        gossip.messageReceived(now, from, message);
    }

    /** Sends queued gossip; to be called at {@link #due}. */
    public void tick(long now) {
        gossip.tick(now);
    }

    /** Returns the time at which the next tick is due, us. */
    public long due() {
        return gossip.due();
    }
}
