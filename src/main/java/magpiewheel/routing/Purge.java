package magpiewheel.routing;

/**
 * A purge of one object or, with object 0, of its whole group, made {@code agoUs} ago at the origin: at
 * {@code originTimeMs} by the origin's clock, 0 where that is not told.
 */
public record Purge(long agoUs, long objectId, int group, long originTimeMs) {
    /** Without the origin's time. */
    public Purge(long agoUs, long objectId, int group) {
        this(agoUs, objectId, group, 0);
    }
}
