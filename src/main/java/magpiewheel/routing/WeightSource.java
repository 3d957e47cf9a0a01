package magpiewheel.routing;

/** What a node's weight stands for. */
public enum WeightSource {
    OFF,
    NOMINAL,
    ROUGH,
    LIVE
}
