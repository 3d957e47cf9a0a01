package magpiewheel.routing;

/** The result of one health check. */
public record HealthCheckResult(long endpointId, AttemptResult result, long durationUs) {}
