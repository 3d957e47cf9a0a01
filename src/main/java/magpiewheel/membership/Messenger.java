package magpiewheel.membership;

import java.util.ArrayList;
import java.util.List;

/** Sends membership messages, each with the local member's own state. */
final class Messenger {
    private static final int[] NO_DIGESTS = {};
    private static final long US_PER_MS = 1_000;

    private final MembershipConfig config;
    private final DatagramSender sender;
    private final MemberTable members;
    private final HeartbeatMonitor monitor;
    private final RoundSchedule schedule;
    private final PartitionDetector partition;
    private long lastSentAt;

    Messenger(MembershipContext context, PartitionDetector partition) {
        config = context.config;
        sender = context.sender;
        members = context.members;
        monitor = context.monitor;
        schedule = context.schedule;
        this.partition = partition;
    }

    /**
     * Sends updates. A receiver that is suspected or considered dead is told so as well, so that it can refute that.
     */
    void sendRound(long now, Member to, List<MemberUpdate> updates, boolean wantsReply) {
        List<MemberUpdate> all = updates;
        boolean failed = to.status == MemberStatus.SUSPECT || to.status == MemberStatus.DEAD;
        boolean included = updates.stream().anyMatch(update -> update.memberId() == to.id);
        if (failed && !included && !partition.isIsolated()) {
            all = new ArrayList<>(updates);
            all.add(to.toUpdate(now));
        }
        sendUpdates(now, to, all, wantsReply);
    }

    /** Sends the given updates. */
    void sendUpdates(long now, Member to, List<MemberUpdate> updates, boolean wantsReply) {
        send(now, to, MembershipMessage.Kind.UPDATES, updates, wantsReply, NO_DIGESTS);
    }

    /** Sends the digests of this member's table; the receiver replies with the updates that differ. */
    void sendDigests(long now, Member to) {
        int[] digests = members.bucketDigests();
        send(now, to, MembershipMessage.Kind.BUCKET_DIGESTS, List.of(), true, digests);
    }

    /** Replies to a message, unless a reply was sent less than a check interval ago. */
    void reply(long now, Member to, List<MemberUpdate> updates) {
        if (now - to.lastReplyAt >= schedule.checkIntervalUs()) {
            to.lastReplyAt = now;
            sendUpdates(now, to, updates, false);
        }
    }

    /** Tells a member the status that it has here, so that it refutes it; an isolated member does not. */
    void requestRefutation(long now, Member to) {
        if (!partition.isIsolated()) {
            reply(now, to, List.of(to.toUpdate(now)));
        }
    }

    private void send(
            long now,
            Member to,
            MembershipMessage.Kind kind,
            List<MemberUpdate> updates,
            boolean wantsReply,
            int[] digests) {
        lastSentAt = Math.max(lastSentAt + 1, now);
        Member self = members.self();
        MembershipMessage message = new MembershipMessage(
                kind,
                MemberUpdate.ofSelf(config.memberId(), self.status, self.incarnation, self.zone, self.address),
                monitor.isHeard(now, to),
                wantsReply,
                partition.verdict(),
                lastSentAt,
                (int) Math.max(1, config.heartbeatUs() / US_PER_MS),
                members.digest(),
                updates,
                digests);
        sender.send(to.id, message.encode());
    }
}
