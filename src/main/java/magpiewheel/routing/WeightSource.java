package magpiewheel.routing;

/** What the weight of an endpoint stands for. */
public enum WeightSource {
    OFF,
    NOMINAL,
    ROUGH,
    LIVE
}
