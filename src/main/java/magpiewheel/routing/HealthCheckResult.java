package magpiewheel.routing;

/** How one probe ended. */
public record HealthCheckResult(long endpointId, AttemptResult result, long durationUs) {}
