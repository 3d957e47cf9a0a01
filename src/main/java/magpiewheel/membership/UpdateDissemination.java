package magpiewheel.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Queue of the updates to be sent, each in several rounds of messages (infection-style dissemination). */
final class UpdateDissemination {
    /** Rounds in which an update is sent; one for a joining member, since it is soon announced as alive. */
    private static final int ROUNDS_PER_UPDATE = 3;
    /**
     * Longest heartbeat interval with which updates about other members are sent early too: DNS lookups depend on them.
     */
    private static final long MAX_FAST_HEARTBEAT_US = 100_000;

    private final MembershipConfig config;
    private final MemberTable members;
    private final RoundSchedule schedule;
    private final ArrayDeque<Member> queue = new ArrayDeque<>();
    private boolean overflowed;

    UpdateDissemination(MembershipConfig config, MemberTable members, RoundSchedule schedule) {
        this.config = config;
        this.members = members;
        this.schedule = schedule;
    }

    /** Queues an update about a member whose state changed, to be sent with the next rounds. */
    void announce(long now, Member member) {
        if (!member.updateQueued) {
            member.updateQueued = true;
            queue.addLast(member);
        }
        member.sendsRemaining = member.status == MemberStatus.JOINING ? 1 : ROUNDS_PER_UPDATE;
        if (member == members.self() || config.heartbeatUs() <= MAX_FAST_HEARTBEAT_US) {
            schedule.flushSoon(now);
        }
    }

    /**
     * Returns the updates that one message holds, those sent least often first.
     *
     * @param isolated whether this member is isolated, and so reports no failures of others
     */
    List<MemberUpdate> takeUpdates(long now, boolean isolated) {
        List<MemberUpdate> updates = new ArrayList<>();
        // Space is reserved for the update that tells the receiver its own status.
        int space = MembershipMessage.MAX_MESSAGE_BYTES
                - MembershipMessage.HEADER_BYTES
                - MembershipMessage.UPDATE_BYTES
                - MembershipMessage.SUSPECT_BYTES
                - MembershipMessage.PROOF_BYTES;
        overflowed = false;
        int queueLength = queue.size();
        for (int i = 0; i < queueLength; i++) {
            Member member = queue.pollFirst();
            MemberUpdate update = member.toUpdate(now);
            if (isSendable(member, update, isolated)) {
                int bytes = MembershipMessage.encodedBytes(update);
                if (bytes > space) {
                    queue.addFirst(member);
                    overflowed = true;
                    break;
                }
                space -= bytes;
                updates.add(update);
                member.sendsRemaining--;
            } else {
                member.sendsRemaining = 0;
            }
            member.updateQueued = member.sendsRemaining > 0;
            if (member.updateQueued) {
                queue.addLast(member);
            }
        }
        return updates;
    }

    private static boolean isSendable(Member member, MemberUpdate update, boolean isolated) {
        return member.sendsRemaining > 0
                && update.status() != MemberStatus.UNKNOWN
                && !(isolated && update.declaresFailure());
    }

    /** Whether the last message could not hold all updates. */
    boolean overflowed() {
        return overflowed;
    }

    /** Whether no update is queued. */
    boolean isIdle() {
        return queue.isEmpty();
    }
}
