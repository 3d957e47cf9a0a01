package magpiewheel.routing;

/** The meaning of one value of a load report. */
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
