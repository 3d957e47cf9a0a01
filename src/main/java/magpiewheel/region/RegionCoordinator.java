package magpiewheel.region;

import java.util.List;
import java.util.Set;
import magpiewheel.membership.MembershipView;
import magpiewheel.membership.PartitionVerdict;

/**
 * Takes part in the coordination of one router's region: which parent leads the region's fills, by an elected lease,
 * and whether a fill may start. Where no leader is returned, the router selects the source itself.
 *
 * <p>Its methods report events; {@link #tick} must be called when {@link #due} says. It never blocks. Times are
 * microseconds of the caller's clock. Not thread-safe.
 */
public final class RegionCoordinator {
    /** Interval at which this router sends zone loads and leadership claims to other routers. */
    private static final long UPDATE_INTERVAL_US = 500_000;
    /** Number of routers that receive each update. */
    private static final int UPDATE_RECEIVERS = 2;

    private final RegionConfig config;
    private final RegionMessageSender sender;
    private final RegionState state;
    private final RegionDirectory directory;
    private final RegionProposals proposals;
    private final LeaderSuspicions suspicions;
    private final Handover handover;
    private final FillRouter fills;
    private RegionAssignment assignment;
    private long highestTerm;
    private long nextUpdateAt;
    private int nextReceiver;

    /**
     * Creates the coordinator of a router that knows only its configuration; parents are added by
     * {@link #parentsChanged}.
     */
    public RegionCoordinator(long now, RegionConfig config, MembershipView membership, RegionMessageSender sender) {
        this.config = config;
        this.sender = sender;
        state = new RegionState(config, membership);
        directory = new RegionDirectory(config.assumedLoads());
        proposals = new RegionProposals(state, directory);
        suspicions = new LeaderSuspicions(state, sender, this::runElection);
        handover = new Handover(config.slowStart());
        fills = new FillRouter(state, handover);
        nextUpdateAt = now + UPDATE_INTERVAL_US;
        nextReceiver = config.routerId();
        updateRegions(now);
    }

    // ---------------------------------------------------------------- events

    /** Handles a change of discovery's list; {@code parents} are all parents in it now. */
    public void parentsChanged(long now, List<Parent> parents) {
        for (Parent parent : parents) {
            Parent previous = state.parents.get(parent.id());
            if (previous != null && previous.startedUs() != parent.startedUs()) {
                state.observations.remove(parent.id());
                if (state.ranking != null) {
                    state.ranking.forget(parent.id());
                }
            }
        }
        state.parents.clear();
        parents.forEach(parent -> state.parents.put(parent.id(), parent));
        state.observations.keySet().retainAll(state.parents.keySet());
        handover.retainParents(state.parents.keySet());
        updateRegions(now);
        runElection(now);
    }

    /** Records the measured load of the own zone, which the running router of the zone with the lowest id announces. */
    public void zoneLoadMeasured(long now, double load) {
        if (announcesZone() && directory.loadMeasured(now, config.zone(), load)) {
            updateRegions(now);
        }
    }

    private boolean announcesZone() {
        return state.membership.runningMembersIn(config.zone()).stream().allMatch(router -> router > config.routerId());
    }

    /**
     * Records a fill sent to a parent, whether or not as the leader: its work, and the transfers that the link of the
     * parent carries for it.
     */
    public void fillStarted(long now, long parent, long object, double work, double transfers) {
        handover.workSent(now, parent, work);
        state.observationsOf(parent).fillSent(now, object, transfers);
    }

    /**
     * Records a response of a parent or a fill from it that failed; {@code hit} tells whether the parent held the
     * object.
     */
    public void parentResponded(long now, long parent, long object, long firstByteUs, boolean ok, boolean hit) {
        state.observationsOf(parent).responded(now, firstByteUs, ok, hit);
        fills.fillEnded(object, ok);
        state.hangDetector.responded(now, parent);
    }

    /** Records that the response to a request sent to a parent at {@code sentAt} is overdue. */
    public void responseOverdue(long now, long parent, long sentAt) {
        ParentObservations observed = state.observationsOf(parent);
        observed.responseOverdue(now, sentAt);
        if (observed.overdueResponses(now) > 0) {
            suspicions.report(now);
        }
    }

    /** Sets the share of a parent's link that is free according to this router. */
    public void setFreeLinkShare(long parent, double freeLinkShare) {
        state.observationsOf(parent).setFreeLinkShare(freeLinkShare);
    }

    /**
     * Records that an admitted fill ended without a parent's response; {@code filled} tells whether the object was
     * received nevertheless.
     */
    public void fillEnded(long object, boolean filled) {
        fills.fillEnded(object, filled);
    }

    // ---------------------------------------------------------------- fills

    /** Returns the parent to fill an object from, or null if the router selects the source itself. */
    public Leader leaderFor(long now, int zone, long object, double work) {
        return fills.leaderFor(now, zone, object, work);
    }

    /** Whether a parent, which may be warming up, has budget for more work from this router. */
    public boolean hasBudget(long now, long parent, double work) {
        return fills.hasBudget(now, parent, work);
    }

    /** Whether a miss may be filled now, at the rate that the hub's parents and the origin can carry. */
    public boolean admitsFill(long now, long object, double work) {
        return fills.admitsFill(now, object, work);
    }

    // ---------------------------------------------------------------- state

    /** Returns the number of fills rejected so far. */
    public long rejectedFills() {
        return fills.rejectedFills();
    }

    /**
     * Returns the status of the region regardless of the object: {@link RouteReason#LED}, or the reason why no leader
     * can be used.
     */
    public RouteReason regionStatus(long now) {
        return fills.regionStatus(now);
    }

    /** Returns how often this reason decided where a fill goes. */
    public long routeCount(RouteReason reason) {
        return fills.count(reason);
    }

    /** Returns the region of this router's zone, or null. */
    public Region region() {
        return state.region;
    }

    /** Returns the assignment of all regions according to this router. */
    public RegionAssignment assignment() {
        return assignment;
    }

    /** Returns the leader of this router's region, or null. */
    public Leader leader(long now) {
        Lease lease = state.lease(now);
        return lease == null ? null : new Leader(lease.leader(), lease.term(), false);
    }

    /** Whether this router holds the lease of its region. */
    public boolean holdsLease(long now) {
        return state.election != null && state.election.holdsLease(now);
    }

    // ---------------------------------------------------------------- regions and elections

    private void updateRegions(long now) {
        List<Parent> parents = List.copyOf(state.parents.values());
        assignment = RegionAssignment.of(
                new RegionTopology(config.hubByZone(), directory.loads(), directory.homeSlots(), parents));
        Region previous = state.region;
        state.region = assignment.regionOf(config.zone());
        if (state.region == null || previous == null || previous.key() != state.region.key()) {
            highestTerm = state.election == null ? highestTerm : Math.max(highestTerm, state.election.highestTerm());
            state.election = null;
            if (state.region != null) {
                startElection(now);
            }
        }
    }

    /**
     * Starts an election as after a restart, because promises that this router made before in a region of the same key
     * may still be valid.
     */
    private void startElection(long now) {
        state.ranking = new ParentRanking(state.region.key());
        state.hangDetector = new HangDetector();
        state.spill = new LoadSpill();
        Election.Participants participants = new Election.Participants(
                config.routerId(),
                config.startedMs(),
                state.region.key(),
                state.region.routers(config.routersByZone()));
        state.election = new Election(now, participants, highestTerm, proposals, sender);
    }

    private void runElection(long now) {
        if (state.election != null) {
            boolean isolated = state.membership.verdict() == PartitionVerdict.ISOLATED;
            state.election.tick(now, state.otherRouters(), isolated);
        }
    }

    // ---------------------------------------------------------------- messages and time

    /** Whether a message belongs to the region protocol. */
    public static boolean isRegionMessage(byte[] message) {
        return message.length > 0 && message[0] == RegionMessageCodec.MAGIC;
    }

    /** Handles a message of another router; an invalid or unrelated message has no effect. */
    public void messageReceived(long now, int from, byte[] bytes) {
        RegionMessage message = RegionMessageCodec.decode(bytes);
        if (message == null || from == config.routerId()) {
            return;
        }
        if (message instanceof RegionMessage.DirectoryUpdate update) {
            if (directory.merge(now, update)) {
                updateRegions(now);
            }
            return;
        }
        if (state.region == null || message.header().regionKey() != state.region.key()) {
            return;
        }
        if (message instanceof RegionMessage.LeaseRequest request) {
            state.election.requestReceived(now, from, request);
        } else if (message instanceof RegionMessage.Vote vote) {
            voteReceived(now, from, vote);
        } else if (message instanceof RegionMessage.Suspicion suspicion) {
            suspicions.suspicionReceived(now, from, suspicion);
        }
    }

    private void voteReceived(long now, int from, RegionMessage.Vote vote) {
        if (!state.election.voteReceived(now, from, vote, Set.copyOf(state.region.zones()))) {
            return;
        }
        vote.reports().forEach(report -> suspicions.reportReceived(now, from, vote, report));
        if (vote.granted()) {
            state.spill.addReport(now, from, vote.sentPerS(), vote.hotObject(), vote.hotSentPerS());
        }
    }

    /** Returns the time at which {@link #tick} must be called next; any call may change it. */
    public long due(long now) {
        long next = Math.min(nextUpdateAt, suspicions.due());
        return state.election == null ? next : Math.min(next, state.election.due(now));
    }

    /** Runs the actions that are due. */
    public void tick(long now) {
        if (now >= nextUpdateAt) {
            nextUpdateAt = now + UPDATE_INTERVAL_US;
            sendUpdate(now);
        }
        if (now >= suspicions.due()) {
            suspicions.report(now);
        }
        runElection(now);
    }

    private void sendUpdate(long now) {
        Lease lease = state.lease(now);
        if (lease != null && state.election.holdsLease(now)) {
            directory.claim(
                    now,
                    new RegionMessage.LeadershipClaim(
                            state.region.key(), lease.term(), lease.leader(), state.region.load(), 0));
        }
        // A slot is announced only once a lease exists in it, because slots may still change during a start.
        if (lease != null && announcesZone() && directory.setHomeSlot(config.zone(), assignment.slot(config.zone()))) {
            updateRegions(now);
        }
        List<Integer> others = state.membership.runningMembers();
        RegionMessage.DirectoryUpdate update = directory.nextUpdate(now, state.header(0));
        if (update.loads().isEmpty() && update.claims().isEmpty()) {
            return;
        }
        for (int i = 0; i < Math.min(UPDATE_RECEIVERS, others.size()); i++) {
            nextReceiver = (int) Math.floorMod(DeterministicHash.of(nextReceiver, now), (long) Integer.MAX_VALUE);
            sender.send(others.get(nextReceiver % others.size()), RegionMessageCodec.encode(update));
        }
    }
}
