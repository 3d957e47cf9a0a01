package magpiewheel.routing;

/**
 * A purge of one object or of a group.
 *
 * @param ageUs how long ago it was made at the origin
 * @param objectId the object; 0 for the whole group
 * @param originTimeMs when it was made by the origin's clock, Unix milliseconds; 0 where that is unknown
 */
public record Purge(long ageUs, long objectId, int group, long originTimeMs) {
    /** Without the origin's time. */
    public Purge(long ageUs, long objectId, int group) {
        this(ageUs, objectId, group, 0);
    }
}
