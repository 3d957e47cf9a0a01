package magpiewheel.membership;

/**
 * How complete a member considers its own view. The order is fixed, as ordinals are sent in messages and published as
 * figures.
 */
public enum PartitionVerdict {
    /** It hears all members that others hear. */
    COMPLETE,
    /** Some members cannot be reached from here while others hear them, or a whole zone is lost. */
    PARTIAL,
    /** No member both hears this one and is heard by it. */
    ISOLATED
}
