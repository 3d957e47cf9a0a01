package magpiewheel.routing;

/** Which sibling caches may be the source of a fill: none, those of the same location, or any. */
public enum SiblingFills {
    OFF,
    LOCATION,
    ANY
}
