package magpiewheel.region;

import java.util.List;
import java.util.Set;
import magpiewheel.membership.MembershipView;
import magpiewheel.membership.PartitionVerdict;

/**
 * One router's part in its region: which parent leads the region's fills, by an elected lease, and whether a fill may
 * start. Where it names no leader, the router chooses for itself.
 *
 * <p>It is notified of what happens, is called when {@link #due} says, and never waits. Times are microseconds of the
 * caller's clock; one thread at a time.
 */
public final class RegionCoordinator {
    /** How often routers send each other loads and claims. */
    private static final long UPDATE_INTERVAL_US = 500_000;
    /** How many routers get them each time. */
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

    /** The coordinator of a router that knows only its configuration; parents come with {@link #parentsChanged}. */
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

    /** Discovery's list changed: all parents that are in it now. */
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

    /** The load of the own zone was measured; the first router of the zone announces it. */
    public void zoneLoadMeasured(long now, double load) {
        if (announcesZone() && directory.loadMeasured(now, config.zone(), load)) {
            updateRegions(now);
        }
    }

    private boolean announcesZone() {
        return state.membership.runningMembersIn(config.zone()).stream().allMatch(router -> router > config.routerId());
    }

    /** A fill goes to a parent, as a leader or not: its work, and the transfers that its link carries for it. */
    public void fillStarted(long now, long parent, long object, double work, double transfers) {
        handover.workSent(now, parent, work);
        state.observationsOf(parent).fillSent(now, object, transfers);
    }

    /** A parent responded, or a fill from it failed; {@code hit} if it had the object. */
    public void parentResponded(long now, long parent, long object, long firstByteUs, boolean ok, boolean hit) {
        state.observationsOf(parent).responded(now, firstByteUs, ok, hit);
        fills.fillEnded(object, ok);
        state.hangDetector.responded(now, parent);
    }

    /** The response to what was sent to a parent at a time is overdue. */
    public void responseOverdue(long now, long parent, long sentAt) {
        ParentObservations observed = state.observationsOf(parent);
        observed.responseOverdue(now, sentAt);
        if (observed.overdueResponses(now) > 0) {
            suspicions.report(now);
        }
    }

    /** The part of a parent's link that is free, as this router sees it. */
    public void setFreeLinkShare(long parent, double freeLinkShare) {
        state.observationsOf(parent).setFreeLinkShare(freeLinkShare);
    }

    /** An admitted fill ended without a parent's response; {@code filled} if the object came all the same. */
    public void fillEnded(long object, boolean filled) {
        fills.fillEnded(object, filled);
    }

    // ---------------------------------------------------------------- fills

    /** The parent to fill an object from; null where the router is to choose for itself. */
    public Leader leaderFor(long now, int zone, long object, double work) {
        return fills.leaderFor(now, zone, object, work);
    }

    /** Whether a parent that may be warming up has budget for more of this router's work. */
    public boolean hasBudget(long now, long parent, double work) {
        return fills.hasBudget(now, parent, work);
    }

    /** Whether a miss may be filled now, at the rate that the hub's parents and the origin carry. */
    public boolean admitsFill(long now, long object, double work) {
        return fills.admitsFill(now, object, work);
    }

    // ---------------------------------------------------------------- state

    /** How many fills were rejected so far. */
    public long rejectedFills() {
        return fills.rejectedFills();
    }

    /** How the region stands, whatever the object: {@link RouteReason#LED} or what prevents that. */
    public RouteReason regionStatus(long now) {
        return fills.regionStatus(now);
    }

    /** How often a reason decided where a fill goes. */
    public long routeCount(RouteReason reason) {
        return fills.count(reason);
    }

    /** The region of this router's zone, or null. */
    public Region region() {
        return state.region;
    }

    /** All regions as this router has them. */
    public RegionAssignment assignment() {
        return assignment;
    }

    /** The leader of this router's region, or null. */
    public Leader leader(long now) {
        Lease lease = state.lease(now);
        return lease == null ? null : new Leader(lease.leader(), lease.term(), false);
    }

    /** Whether this router holds its region's lease. */
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

    /** As after a restart: promises that this router made before, in a region of the same key, may still stand. */
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

    /** Whether a message is one of the regions'. */
    public static boolean isRegionMessage(byte[] message) {
        return message.length > 0 && message[0] == RegionMessageCodec.MAGIC;
    }

    /** A message of another router; what can't be used has no effect. */
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

    /** When {@link #tick} wants to be called; it may change with every call. */
    public long due(long now) {
        long next = Math.min(nextUpdateAt, suspicions.due());
        return state.election == null ? next : Math.min(next, state.election.due(now));
    }

    /** Does what is due. */
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
        // A slot is announced once a lease was held in it: slots that change at a start settle first.
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
