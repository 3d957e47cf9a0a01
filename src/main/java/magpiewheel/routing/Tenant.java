package magpiewheel.routing;

/**
 * A tenant of the site.
 *
 * @param quotaPerS the requests a second, over all routers, that are inside its quota
 * @param demandShare its share of the demand
 */
public record Tenant(double quotaPerS, double demandShare) {}
