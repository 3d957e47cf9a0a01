package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;

/** Exchanges reports with the routers of the zone: loads, limits, new holders and fills that were started. */
final class PeerExchange {
    /**
     * Peers for each tick of the message interval: the more peers, the rarer the messages to each, so that the total
     * grows with the requests only.
     */
    private static final int PEERS_PER_TICK = 6;
    /** Maximum number of ticks between messages. */
    private static final int MAX_TICKS = 50;
    /** Number of messages that a peer may miss before the load that it last reported is discarded. */
    private static final int MAX_MISSED_MESSAGES = 3;

    private final RouterTopology topology;
    private final boolean mayMessagePeers;
    private final FleetProtocols fleet;
    private final PeerReports peers;
    private final RoutingState state;
    private final OriginHealth originHealth;
    private final ConcurrencyLimiter limiter;
    private final RoutingActions actions;
    private final List<HolderHint> unreportedHolders = new ArrayList<>();
    private int ticks;

    /** The collaborators that supply and use reports, besides the shared state. */
    record Collaborators(
            FleetProtocols fleet, PeerReports peers, OriginHealth originHealth, ConcurrencyLimiter limiter) {}

    PeerExchange(RoutingSettings settings, RoutingState state, Collaborators collaborators, RoutingActions actions) {
        this.topology = settings.topology();
        this.mayMessagePeers = settings.limits().mayMessagePeers();
        this.state = state;
        this.fleet = collaborators.fleet();
        this.peers = collaborators.peers();
        this.originHealth = collaborators.originHealth();
        this.limiter = collaborators.limiter();
        this.actions = actions;
    }

    /** Adds a cache that was filled to the next message to peers. */
    void queueHolderReport(HolderHint holder) {
        unreportedHolders.add(holder);
    }

    /** Updates the peers; sends messages once per message interval. */
    void tick(long now) {
        if (mayMessagePeers && topology.routers() > 1) {
            long silenceTimeoutUs = MAX_MISSED_MESSAGES * ticksPerMessage() * RequestRouter.TICK_INTERVAL_US;
            peers.updatePeers(now, fleet.membershipView().runningMembersIn(topology.zone()), silenceTimeoutUs);
            if (ticks % ticksPerMessage() == 0) {
                sendReports(now);
                unreportedHolders.clear();
            }
        }
        ticks++;
    }

    /** Sends a message to all peers, even an empty one: peers that are not members are found by their messages. */
    private void sendReports(long now) {
        PeerMessage message = new PeerMessage(
                topology.zone(),
                now,
                limiter.ownFills(),
                limiter.fillLimit(),
                originHealth.lateRatio(now),
                PeerMessageCodec.loads(state.endpoints().caches()),
                state.fills().takeUnreported(now),
                unreportedHolders);
        List<byte[]> datagrams = PeerMessageCodec.encode(message);
        peers.recipients().forEach(peer -> datagrams.forEach(datagram -> actions.sendToPeer(peer, datagram)));
    }

    private int ticksPerMessage() {
        return Math.min(MAX_TICKS, 1 + peers.size() / PEERS_PER_TICK);
    }

    /** Handles a message of a peer; ignores one that is malformed, outdated or from another zone. */
    void messageReceived(long now, long sender, byte[] bytes) {
        PeerReports.AcceptedReport report = peers.received(now, sender, PeerMessageCodec.decode(bytes));
        if (report == null) {
            return;
        }
        PeerMessage message = report.message();
        message.holders().forEach(hint -> holderReported(report.sentAt() - hint.ageUs(), hint));
        message.fillsStarted().forEach(hint -> fillReported(report.sentAt() - hint.ageUs(), hint));
        if (report.first()) {
            originHealth.reportedByPeer(now, message.originLateRatio());
            limiter.reportedByPeer(message.fillLimit(), message.loads());
        }
    }

    private void holderReported(long at, HolderHint hint) {
        if (fillReported(at, hint)) {
            state.holders().reportedByPeer(at, state.endpoints().get(hint.endpointId()), hint);
        }
    }

    /** Records a fill and returns true if its cache is a ready one of this zone and the object was not purged since. */
    private boolean fillReported(long at, HolderHint hint) {
        Endpoint cache = state.endpoints().get(hint.endpointId());
        boolean isReadyCacheOfZone = cache != null && cache.isReady() && cache.isCacheOf(topology.zone());
        boolean accepted = isReadyCacheOfZone && at > state.purges().lastPurge(hint.objectId(), hint.group());
        if (accepted && hint.part() != PeerMessageCodec.UNKNOWN_PART) {
            state.fills().recordFill(new FillCoalescer.Fill(hint.objectId(), hint.part(), hint.group(), cache, at));
        }
        return accepted;
    }
}
