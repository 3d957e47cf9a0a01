package magpiewheel.routing;

/** Which caches may be named as the source of a fill. */
public enum SiblingFills {
    OFF,
    LOCATION,
    ANY
}
