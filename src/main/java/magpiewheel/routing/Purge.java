package magpiewheel.routing;

/**
 * A purge of one object or of a group.
 *
 * @param ageUs how long ago the purge was made at the origin
 * @param objectId the object; 0 for the whole group
 * @param originTimeMs when the purge was made by the origin's clock, Unix milliseconds; 0 if unknown
 */
public record Purge(long ageUs, long objectId, int group, long originTimeMs) {
    /** Creates a purge whose time by the origin's clock is unknown. */
    public Purge(long ageUs, long objectId, int group) {
        this(ageUs, objectId, group, 0);
    }
}
