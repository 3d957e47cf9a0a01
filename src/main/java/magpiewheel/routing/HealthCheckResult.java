package magpiewheel.routing;

/** How one health check ended. */
public record HealthCheckResult(long endpointId, AttemptResult result, long durationUs) {}
