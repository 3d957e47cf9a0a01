package magpiewheel.routing;

/** Which other caches may be named as the source of a fill. */
public enum SiblingFills {
    OFF,
    LOCATION,
    ANY
}
