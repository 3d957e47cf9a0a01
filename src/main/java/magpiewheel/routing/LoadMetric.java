package magpiewheel.routing;

/** The metric that one value of an endpoint's load report stands for. */
public enum LoadMetric {
    IN_FLIGHT,
    QUEUED,
    UTILIZATION,
    MEAN_LATENCY_MS,
    RATE,
    ERROR_RATE,
    HIT_RATIO,
    LINK_UTILIZATION,
    UNKNOWN
}
