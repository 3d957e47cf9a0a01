package magpiewheel.membership;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The members that the settings name, with digests by which two tables are compared. */
final class MemberTable {
    private final List<Member> members;
    private final Member self;
    private final Set<Member> suspects = new LinkedHashSet<>();
    private final int[] bucketDigests = new int[MembershipMessage.BUCKETS];
    private int digest;
    private boolean changed = true;
    private long lastLossAt = Long.MIN_VALUE / 4;

    /** A table in which only this member itself is known, as joining. */
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

    /** This member itself. */
    Member self() {
        return self;
    }

    /** The member of a number, which has to be one of the table's. */
    Member get(int id) {
        return members.get(id);
    }

    /** Whether the settings name a member of this number. */
    boolean contains(int id) {
        return id >= 0 && id < members.size();
    }

    /** How many members the settings name. */
    int size() {
        return members.size();
    }

    /** All members, by number. */
    List<Member> all() {
        return members;
    }

    /** The members that are suspected now. */
    List<Member> suspects() {
        return List.copyOf(suspects);
    }

    /** Sets the status of a member at its known incarnation. */
    void set(Member member, MemberStatus status) {
        set(member, status, member.incarnation);
    }

    /** Sets the status of a member at an incarnation; its zone and address stay. */
    void set(Member member, MemberStatus status, long incarnation) {
        set(member, status, incarnation, member.zone, member.address);
    }

    /** Sets what is known of a member; an unknown zone or address leaves the known one. */
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

    /** Forgets all members but itself and those that left: after a partition everything is learnt anew. */
    void forgetOthers() {
        for (Member member : members) {
            if (member != self && member.status != MemberStatus.LEFT && member.status != MemberStatus.UNKNOWN) {
                member.clearSuspicion();
                set(member, MemberStatus.UNKNOWN, 0);
            }
        }
    }

    /** The digest of the whole table: equal for equal tables. */
    int digest() {
        return digest;
    }

    /** The digests of the table's buckets. */
    int[] bucketDigests() {
        return bucketDigests;
    }

    /** The bucket that a member belongs to. */
    static int bucketOf(Member member) {
        return member.id % MembershipMessage.BUCKETS;
    }

    /** Notes that the neighbours have to be determined anew. */
    void markChanged() {
        changed = true;
    }

    /** Whether the neighbours have to be determined anew; asking clears the mark. */
    boolean takeChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** A member left the ring, or refused a probe. */
    void recordLoss(long now) {
        lastLossAt = now;
    }

    /** When a member last left the ring or refused a probe. */
    long lastLossAt() {
        return lastLossAt;
    }
}
