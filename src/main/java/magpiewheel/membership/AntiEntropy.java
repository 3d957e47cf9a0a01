package magpiewheel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Compares digests of the membership table with other members, and sends the updates that dissemination missed. */
final class AntiEntropy {
    /** Consecutive messages with a different digest after which two tables are considered different. */
    private static final int MIN_MISMATCHES = 4;
    /** Minimum heartbeats between a digest request and the next one that is caused by a mismatch. */
    private static final int REQUEST_INTERVAL_HEARTBEATS = 4;
    /** Minimum heartbeats between two digest requests to the same member. */
    private static final int SAME_MEMBER_INTERVAL_HEARTBEATS = 2;
    /** Maximum number of messages sent at once to a member whose table differs. */
    private static final int MAX_REPAIR_MESSAGES = 8;

    private final MembershipConfig config;
    private final MemberTable members;
    private final HeartbeatMonitor monitor;
    private final UpdateDissemination dissemination;
    private final SplittableRandom random;
    private final PartitionDetector partition;
    private final Messenger messenger;
    private long lastRequestAt;
    private int nextNeighbour;

    AntiEntropy(MembershipContext context, PartitionDetector partition, Messenger messenger) {
        config = context.config;
        members = context.members;
        monitor = context.monitor;
        dissemination = context.dissemination;
        random = context.random;
        this.partition = partition;
        this.messenger = messenger;
    }

    /**
     * Compares the digest in a member's message with this member's, and requests the differences after several
     * mismatches in a row. Requests nothing while updates are queued, since tables then differ for a short time anyway.
     */
    void compare(long now, Member sender, int digest) {
        sender.digestMismatches = digest == members.digest() ? 0 : sender.digestMismatches + 1;
        if (sender.digestMismatches >= MIN_MISMATCHES
                && dissemination.isIdle()
                && now - lastRequestAt >= REQUEST_INTERVAL_HEARTBEATS * config.heartbeatUs()) {
            requestDifferences(now, sender);
        }
    }

    private void requestDifferences(long now, Member from) {
        if (now - from.syncRequestedAt >= SAME_MEMBER_INTERVAL_HEARTBEATS * config.heartbeatUs()) {
            from.syncRequestedAt = now;
            lastRequestAt = now;
            messenger.sendDigests(now, from);
        }
    }

    /**
     * Until this member has settled after its start, requests the table of one neighbour at a time, not of all at once:
     * of any while no member was heard, later of those heard whose digests differ. Returns the neighbour asked, or
     * null.
     */
    Member requestAfterStart(long now, List<Member> neighbours) {
        if (monitor.hasSettled(now)) {
            return null;
        }
        for (int i = 0; i < neighbours.size(); i++) {
            Member neighbour = neighbours.get(nextNeighbour++ % neighbours.size());
            if (!monitor.heardAnyone() || neighbour.digestMismatches > 0 && monitor.isHeard(now, neighbour)) {
                requestDifferences(now, neighbour);
                return neighbour;
            }
        }
        return null;
    }

    /** Sends a member the updates of the buckets whose digests differ; an isolated member leaves out failures. */
    void repair(long now, Member to, int[] remoteDigests) {
        List<MemberUpdate> updates = new ArrayList<>();
        int space = MembershipMessage.MAX_MESSAGE_BYTES - MembershipMessage.HEADER_BYTES;
        int sent = 0;
        int first = random.nextInt(members.size());
        for (int i = 0; i < members.size() && sent < MAX_REPAIR_MESSAGES; i++) {
            Member member = members.get((first + i) % members.size());
            if (!differs(member, remoteDigests)) {
                continue;
            }
            MemberUpdate update = member.toUpdate(now);
            if (partition.isIsolated() && update.declaresFailure()) {
                continue;
            }
            if (MembershipMessage.encodedBytes(update) > space) {
                messenger.sendUpdates(now, to, updates, false);
                sent++;
                updates = new ArrayList<>();
                space = MembershipMessage.MAX_MESSAGE_BYTES - MembershipMessage.HEADER_BYTES;
            }
            updates.add(update);
            space -= MembershipMessage.encodedBytes(update);
        }
        if (!updates.isEmpty() && sent < MAX_REPAIR_MESSAGES) {
            messenger.sendUpdates(now, to, updates, false);
        }
    }

    private boolean differs(Member member, int[] remoteDigests) {
        int bucket = MemberTable.bucketOf(member);
        return member.incarnation != 0
                && member != members.self()
                && remoteDigests[bucket] != members.bucketDigests()[bucket];
    }
}
