package magpiewheel.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Sends one round of messages: to the neighbours, to temporary peers and, with a heartbeat, to random members. */
final class GossipRound {
    /** Messages sent with a heartbeat: to the neighbours, and to random members if there are fewer neighbours. */
    private static final int MESSAGES_PER_HEARTBEAT = 2 * ObserverRings.RINGS;
    /** Heartbeats after the start in which a member that has heard no other only requests updates. */
    private static final int FIRST_REQUEST_HEARTBEATS = 2;
    /** Heartbeats between two messages to dead members, or between two messages of a superseded process. */
    private static final int CONTACT_INTERVAL_HEARTBEATS = 5;
    /**
     * Heartbeats for which a member that sent a message and is not a neighbour remains a temporary peer; three, as one
     * message may be lost.
     */
    private static final int TEMPORARY_PEER_HEARTBEATS = 3;

    private static final int MAX_TEMPORARY_PEERS = 16;

    private final MembershipConfig config;
    private final MemberTable members;
    private final HeartbeatMonitor monitor;
    private final RoundSchedule schedule;
    private final UpdateDissemination dissemination;
    private final SplittableRandom random;
    private final Neighbours neighbours;
    private final PartitionDetector partition;
    private final Messenger messenger;
    private final AntiEntropy antiEntropy;

    GossipRound(
            MembershipContext context,
            Neighbours neighbours,
            PartitionDetector partition,
            Messenger messenger,
            AntiEntropy antiEntropy) {
        config = context.config;
        members = context.members;
        monitor = context.monitor;
        schedule = context.schedule;
        dissemination = context.dissemination;
        random = context.random;
        this.neighbours = neighbours;
        this.partition = partition;
        this.messenger = messenger;
        this.antiEntropy = antiEntropy;
    }

    /**
     * Sends the round of a superseded process: an occasional message to a random neighbour, to learn whether the
     * younger process still runs.
     */
    void runSuperseded(long now, boolean heartbeat) {
        List<Member> list = neighbours.list();
        if (heartbeat && schedule.isMultipleOf(CONTACT_INTERVAL_HEARTBEATS) && !list.isEmpty()) {
            messenger.sendRound(now, list.get(random.nextInt(list.size())), List.of(), true);
        }
    }

    /** Sends one round. Returns false if a newly started member has only sent its first request. */
    boolean run(long now, boolean heartbeat) {
        Set<Member> receivers = receivers(now);
        List<MemberUpdate> updates = dissemination.takeUpdates(now, partition.isIsolated());
        Member requested = heartbeat ? antiEntropy.requestAfterStart(now, neighbours.list()) : null;
        if (requested != null
                && !monitor.heardAnyone()
                && monitor.uptimeUs(now) < FIRST_REQUEST_HEARTBEATS * config.heartbeatUs()) {
            // A member that knows no other asks only one at first, since more answers would repeat the same updates.
            return false;
        }
        for (Member receiver : receivers) {
            if (receiver != requested) {
                messenger.sendRound(now, receiver, updates, neighbours.contains(receiver));
            }
        }
        if (heartbeat) {
            sendToRandomMembers(now, receivers, updates);
            contactDeadMember(now, updates);
        }
        return true;
    }

    private Set<Member> receivers(long now) {
        Set<Member> receivers = new LinkedHashSet<>(neighbours.list());
        int temporary = 0;
        for (Member member : members.all()) {
            if (now < member.temporaryPeerUntil && temporary < MAX_TEMPORARY_PEERS && receivers.add(member)) {
                temporary++;
            }
        }
        return receivers;
    }

    /**
     * Sends the remaining messages of a heartbeat to random members. A member without two-way contact sends more of
     * them, and to dead members too.
     */
    private void sendToRandomMembers(long now, Set<Member> receivers, List<MemberUpdate> updates) {
        boolean outOfContact = !partition.hasTwoWayContact(now);
        int messages = Math.max(MESSAGES_PER_HEARTBEAT - receivers.size(), outOfContact ? MESSAGES_PER_HEARTBEAT : 0);
        for (int draws = 2 * MESSAGES_PER_HEARTBEAT; draws > 0 && messages > 0; draws--) {
            Member other = members.get(random.nextInt(members.size()));
            if (other != members.self() && (outOfContact || other.isInRing()) && receivers.add(other)) {
                messenger.sendRound(now, other, updates, outOfContact);
                messages--;
            }
        }
    }

    /**
     * Occasionally sends a message to a member considered dead without proof: it may be on the other side of a
     * partition.
     */
    private void contactDeadMember(long now, List<MemberUpdate> updates) {
        if (!schedule.isMultipleOf(CONTACT_INTERVAL_HEARTBEATS)) {
            return;
        }
        List<Member> dead = members.all().stream()
                .filter(member -> member.status == MemberStatus.DEAD && member.unreachableProvenMs == 0)
                .toList();
        if (!dead.isEmpty()) {
            messenger.sendRound(now, dead.get(random.nextInt(dead.size())), updates, true);
        }
    }

    /** Replies to a message of a member that is not a neighbour, and makes it a temporary peer. */
    void reply(long now, Member from) {
        if (now > from.temporaryPeerUntil) {
            messenger.reply(now, from, List.of());
        }
        from.temporaryPeerUntil = now + TEMPORARY_PEER_HEARTBEATS * monitor.heartbeatUs(from);
    }
}
