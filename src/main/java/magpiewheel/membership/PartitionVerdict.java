package magpiewheel.membership;

/** How complete a member takes its own view to be. The order is the wire's, and that of the figures. */
public enum PartitionVerdict {
    /** It hears all members that others hear. */
    COMPLETE,
    /** Some members can not be reached from here while others hear them, or a zone is lost as a whole. */
    PARTIAL,
    /** No member both hears this one and is heard by it. */
    ISOLATED
}
