package magpiewheel.membership;

import java.util.List;

/** What the rest of the program may ask of the membership. Members go by their numbers in the settings. */
public interface MembershipView {
    /** The status of a member. */
    MemberStatus status(int memberId);

    /** How complete this member's view is. */
    PartitionVerdict verdict();

    /** The zone of a member; -1 where it is unknown. */
    int zone(int memberId);

    /** The other members that run as far as is known: those that join, are alive or are suspected. */
    List<Integer> runningMembers();

    /** Those of a zone. */
    List<Integer> runningMembersIn(int zone);

    /** The IPv4 addresses of the members of a zone that clients may be given, this one's included. */
    List<Integer> servingAddresses(int zone);

    /** A limit of all members is divided by this: the result is what this member may use of it. */
    double quotaDivisor(long now);

    /** Likewise for a limit that the members of a zone share. */
    double quotaDivisorIn(long now, int zone);

    /** A digest of the view: equal for equal views. */
    int digest();
}
