package magpiewheel.membership;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The configured members, with digests by which two tables are compared. */
final class MemberTable {
    private final List<Member> members;
    private final Member self;
    private final Set<Member> suspects = new LinkedHashSet<>();
    private final int[] bucketDigests = new int[MembershipMessage.BUCKETS];
    private int digest;
    private boolean changed = true;
    private long lastLossAt = Long.MIN_VALUE / 4;

    /** Creates a table in which only the local member is known, as joining. */
    MemberTable(MembershipConfig config) {
        Member[] all = new Member[config.memberCount()];
        for (int id = 0; id < all.length; id++) {
            all[id] = new Member(id);
        }
        members = Collections.unmodifiableList(Arrays.asList(all));
        self = all[config.memberId()];
        int zone = config.zone() < 0 ? MemberUpdate.UNKNOWN_ZONE : config.zone();
        set(self, MemberStatus.JOINING, Math.max(1, config.startedMs()), zone, config.address());
    }

    /** Returns the local member. */
    Member self() {
        return self;
    }

    /** Returns the member with this number, which must be configured. */
    Member get(int id) {
        return members.get(id);
    }

    /** Whether a member with this number is configured. */
    boolean contains(int id) {
        return id >= 0 && id < members.size();
    }

    /** Returns the number of configured members. */
    int size() {
        return members.size();
    }

    /** Returns all members, ordered by number. */
    List<Member> all() {
        return members;
    }

    /** Returns the current suspects. */
    List<Member> suspects() {
        return List.copyOf(suspects);
    }

    /** Sets the status of a member at its known incarnation. */
    void set(Member member, MemberStatus status) {
        set(member, status, member.incarnation);
    }

    /** Sets the status and incarnation of a member, and keeps its zone and address. */
    void set(Member member, MemberStatus status, long incarnation) {
        set(member, status, incarnation, member.zone, member.address);
    }

    /** Sets the state of a member; an unknown zone or address does not replace a known one. */
    void set(Member member, MemberStatus status, long incarnation, int zone, int address) {
        int before = member.digest();
        member.status = status;
        member.incarnation = incarnation;
        member.zone = zone == MemberUpdate.UNKNOWN_ZONE ? member.zone : zone;
        member.address = address == 0 ? member.address : address;
        int change = before ^ member.digest();
        digest ^= change;
        bucketDigests[bucketOf(member)] ^= change;
        changed = true;
        if (status == MemberStatus.SUSPECT) {
            suspects.add(member);
        } else {
            suspects.remove(member);
        }
    }

    /** Resets the other members to unknown, except those that left: after a partition their state is learned again. */
    void forgetOthers() {
        for (Member member : members) {
            if (member != self && member.status != MemberStatus.LEFT && member.status != MemberStatus.UNKNOWN) {
                member.clearSuspicion();
                set(member, MemberStatus.UNKNOWN, 0);
            }
        }
    }

    /** Returns the digest of the whole table; equal tables have equal digests. */
    int digest() {
        return digest;
    }

    /** Returns the digest of each bucket. */
    int[] bucketDigests() {
        return bucketDigests;
    }

    /** Returns the bucket to which a member belongs. */
    static int bucketOf(Member member) {
        return member.id % MembershipMessage.BUCKETS;
    }

    /** Marks the neighbours as outdated. */
    void markChanged() {
        changed = true;
    }

    /** Returns whether the neighbours are outdated, and clears the mark. */
    boolean takeChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** Records that a member left the rings or refused a probe. */
    void recordLoss(long now) {
        lastLossAt = now;
    }

    /** Returns when a member last left the rings or refused a probe. */
    long lastLossAt() {
        return lastLossAt;
    }
}
