package magpiewheel.staleness;

import java.util.List;
import magpiewheel.membership.MembershipView;

/**
 * One router's part in reads of bounded staleness: sets the bound of a read, prefers a replica, and proves each copy
 * before it is delivered. It is notified of events, is called when {@link #due} says, and never waits.
 *
 * <p>Times are microseconds of the router's own Unix clock; origin times, marks and purges are of the origin's. One
 * thread at a time.
 */
public final class BoundedStalenessReads {
    /** Known copies and pins that are held, and how long they are kept unused. */
    private static final int MAX_REPLICAS = 1 << 15;

    private static final int MAX_STICKY_REPLICAS = 1 << 14;
    private static final long REPLICA_IDLE_EXPIRY_US = 120_000_000;
    private static final long STICKY_REPLICA_IDLE_EXPIRY_US = 600_000_000;
    /** A mark this far past the origin's latest time can't be met while a client waits. */
    private static final long MAX_MARK_LEAD_US = 2_000_000;
    /** The pause of a refusal: a beat of the board, and a little more with the board cut off. */
    private static final long RETRY_AFTER_US = 300_000;

    private static final long CUT_OFF_RETRY_AFTER_US = 1_000_000;
    private final OriginClock originClock = new OriginClock();
    private final DiscoveryFreshness discovery;
    private final ReplicaIndex replicas = new ReplicaIndex(MAX_REPLICAS, REPLICA_IDLE_EXPIRY_US);
    private final StickyReplicaTable stickyReplicas =
            new StickyReplicaTable(MAX_STICKY_REPLICAS, STICKY_REPLICA_IDLE_EXPIRY_US);
    private final ReplicaGossip gossip;

    /** The reads of one router, which knows nothing yet; replicas come with {@link #replicasChanged}. */
    public BoundedStalenessReads(long now, int routerId, int zone, MembershipView membership, GossipSender sender) {
        discovery = new DiscoveryFreshness(now);
        gossip = new ReplicaGossip(now, routerId, zone, membership, sender, originClock, replicas, stickyReplicas);
    }

    // ---------------------------------------------------------------- what a copy must keep to

    /**
     * What a hint asks of a copy. The class's fresh time and grace bound it as well (0 and 0: nothing of the class is
     * kept, and the origin itself answers, which meets any hint); the time of the object's last purge is of the
     * origin's clock.
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

    /** The oldest age in us that a node may answer with, at least 1; 0 where nothing is asked. */
    public long maxAgeUs(long now, StalenessBound bound) {
        if (!bound.isBounded()) {
            return 0;
        }
        long allowedAgeUs = originClock.earliest(now) - bound.oldestAcceptableUs();
        return Math.max(1, bound.freshUs() > 0 ? Math.min(allowedAgeUs, bound.freshUs()) : allowedAgeUs);
    }

    /** Likewise of one node: 1 where its known copy will not do, whatever its clock makes of that copy's age. */
    public long maxAgeUs(long now, long object, int part, long endpoint, StalenessBound bound) {
        long originTimeUs = bound.isBounded() ? replicas.originTimeOf(now, object, part, endpoint) : 0;
        return originTimeUs > 0 && !accepts(now, bound, originTimeUs) ? 1 : maxAgeUs(now, bound);
    }

    /**
     * The last and only proof, asked of every copy before it is passed on. What was learnt of the origin's clock since
     * the request came counts: a copy that the origin gave out after that is admitted, however little was known before.
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
     * Whether only what the origin gives out for the request itself can prove a strict read: nothing is known of its
     * clock yet.
     */
    public boolean requiresOriginResponse(long now, StalenessBound bound) {
        return bound.strict() && bound.maxAgeUs() > 0 && !originClock.isKnown(now);
    }

    /**
     * Whether such a read may go out, with so many under way: one at a time, since the answer to one teaches the clock
     * to all.
     */
    public static boolean mayReadOrigin(int readsInFlight) {
        return readsInFlight == 0;
    }

    /** How long a client is to wait that was rejected for its bound, us. */
    public long retryAfterUs(long now) {
        return discovery.state(now) == DiscoveryFreshness.State.CUT_OFF ? CUT_OFF_RETRY_AFTER_US : RETRY_AFTER_US;
    }

    /**
     * The mark to hand back, in ms: of a write one more than its answer's, since a copy of that ms may be from before
     * it.
     */
    public static long markOf(long originTimeUs, boolean write) {
        return originTimeUs <= 0 ? 0 : originTimeUs / 1000 + (write ? 1 : 0);
    }

    /**
     * The age in ms of a copy that does not keep to a bound, error included; 0 if it does, -1 if nothing bounds its
     * age.
     */
    public long violatingAgeMs(long now, StalenessBound bound, long originTimeUs) {
        if (accepts(now, bound, originTimeUs)) {
            return 0;
        }
        return originTimeUs <= 0 || !originClock.isKnown(now)
                ? -1
                : Math.max(1, (originClock.latest(bound.requestedAt()) - originTimeUs + 999) / 1000);
    }

    // ---------------------------------------------------------------- which replica

    /** The replica to prefer among the candidates, which are in order of preference; 0 for that order. */
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
     * Whether what a cache or a leading parent is known to hold can satisfy; of one that is not known, no strict read.
     */
    public boolean mayBeAcceptable(long now, long object, int part, long endpoint, StalenessBound bound) {
        long originTimeUs = replicas.originTimeOf(now, object, part, endpoint);
        return originTimeUs == 0 ? !bound.strict() : accepts(now, bound, originTimeUs);
    }

    // ---------------------------------------------------------------- what happens

    /** An endpoint answered a read with a copy. */
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
     * A copy came that was asked for at a time. {@code viaOrigin} only if the origin gave it out for this very request:
     * a fill from the origin that joined none under way.
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
     * A write was answered; writes ignore pins. It proves that the origin's clock was past its time, but not that it
     * was not past it when this try was sent: a keyed write that was done before may be answered with the time at which
     * it was done.
     */
    public void writeAnswered(long sentUs, long receivedUs, long originTimeUs) {
        responseReceived(sentUs, receivedUs, originTimeUs, false);
    }

    /**
     * An object, or with object 0 a group, was purged at a time of the origin's: the bound of a read brings a group's.
     */
    public void objectPurged(long now, long object, int group, long purgedAtUs) {
        if (object != 0) {
            replicas.removeOlder(object, purgedAtUs);
        }
    }

    /** The caches of the branch as the list has them; who is no more in it is gone from this moment. */
    public void replicasChanged(long now, List<Replica> listed) {
        stickyReplicas.replicasChanged(now, listed).forEach(replicas::forget);
    }

    /** Discovery was heard, be it by an empty frame. */
    public void discoveryHeard(long now) {
        discovery.heard(now);
    }

    // ---------------------------------------------------------------- figures

    /** How many sessions stick to a replica. */
    public int stickyReplicas() {
        return stickyReplicas.totalAssigned();
    }

    /** The width of what is known of the origin's clock, us; -1 where it has no end. */
    public long clockUncertaintyUs(long now) {
        return originClock.widthUs(now);
    }

    /** How discovery's silence limits strict reads: 0 not at all, 1 silent, 2 cut off. */
    public int discoveryState(long now) {
        return discovery.state(now).ordinal();
    }

    /** How often a clock was found to have been stepped. */
    public long clockSteps() {
        return originClock.clockSteps();
    }

    /** Datagrams that were malformed. */
    public long malformedMessages() {
        return gossip.malformed();
    }

    // ---------------------------------------------------------------- messages

    /** Whether a message belongs to the reads of bounded staleness. */
    public static boolean isStalenessMessage(byte[] message) {
        return message.length > 0 && message[0] == ReplicaGossip.PROTOCOL_BYTE;
    }

    /** A datagram came from a router. */
    public void messageReceived(long now, int from, byte[] message) {
        gossip.messageReceived(now, from, message);
    }

    /** Call at {@link #due}. */
    public void tick(long now) {
        gossip.tick(now);
    }

    /** When the next tick is due. */
    public long due() {
        return gossip.due();
    }
}
