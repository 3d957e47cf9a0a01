package magpiewheel.routing;

/**
 * The meaning of an endpoint's weight; {@code NOMINAL} and {@code ROUGH} weights are capacities in concurrent
 * transfers.
 */
public enum WeightSource {
    OFF,
    NOMINAL,
    ROUGH,
    LIVE
}
