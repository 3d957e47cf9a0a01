package magpiewheel.membership;

/** The status of a member; a later one supersedes an earlier one of the same incarnation. The order is the wire's. */
public enum MemberStatus {
    /** The settings name it, nobody heard of it. */
    UNKNOWN,
    /** It runs and does not serve yet. */
    JOINING,
    /** It serves. */
    ALIVE,
    /** Its observers hear nothing of it; it may refute that. */
    SUSPECT,
    /** It failed. */
    DEAD,
    /** It left, or drains. */
    LEFT
}
