package magpiewheel.membership;

import java.util.List;

/** Read access to the membership for other packages. Members are identified by their numbers in the settings. */
public interface MembershipView {
    /** Returns the status of a member. */
    MemberStatus status(int memberId);

    /** Returns the verdict on how complete this member's view is. */
    PartitionVerdict verdict();

    /** Returns the zone of a member; -1 if unknown. */
    int zone(int memberId);

    /** Returns the other members believed to run: those that are joining, alive or suspected. */
    List<Integer> runningMembers();

    /** Returns the members of a zone among {@link #runningMembers}. */
    List<Integer> runningMembersIn(int zone);

    /** Returns the IPv4 addresses of the members of a zone that clients may be given, including this one. */
    List<Integer> servingAddresses(int zone);

    /** Returns the number by which a limit shared by all members is divided to give this member's share. */
    double quotaDivisor(long now);

    /** Returns the same number for a limit shared by the members of a zone. */
    double quotaDivisorIn(long now, int zone);

    /** Returns a digest of the view; equal views have equal digests. */
    int digest();
}
