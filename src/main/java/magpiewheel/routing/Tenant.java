package magpiewheel.routing;

/** A tenant, and the requests a second over all directors that are inside its share. */
public record Tenant(double quotaPerS, double portion) {}
