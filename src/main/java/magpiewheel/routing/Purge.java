package magpiewheel.routing;

/**
 * A purge of one object or of a group.
 *
 * @param agoUs how long ago it was made at the origin
 * @param objectId the object; 0 for the whole group
 * @param originTimeMs when it was made by the origin's clock, Unix milliseconds; 0 where that is unknown
 */
public record Purge(long agoUs, long objectId, int group, long originTimeMs) {
    /** Without the origin's time. */
    public Purge(long agoUs, long objectId, int group) {
        this(agoUs, objectId, group, 0);
    }
}
