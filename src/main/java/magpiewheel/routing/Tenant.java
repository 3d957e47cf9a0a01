package magpiewheel.routing;

/**
 * A tenant of the site.
 *
 * @param quotaPerS the quota in requests per second, summed over all routers
 * @param demandShare the tenant's share of the total demand
 */
public record Tenant(double quotaPerS, double demandShare) {}
