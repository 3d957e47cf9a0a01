package magpiewheel.membership;

/**
 * Status of a member; within an incarnation a later status supersedes an earlier one. The order is fixed, as ordinals
 * are sent in messages.
 */
public enum MemberStatus {
    /** Configured, but not heard of yet. */
    UNKNOWN,
    /** Running, but not serving yet. */
    JOINING,
    /** Serving. */
    ALIVE,
    /** Not heard by its observers; it may still refute that. */
    SUSPECT,
    /** Failed. */
    DEAD,
    /** Has left, or is draining. */
    LEFT
}
