package magpiewheel.routing;

/** The number of attempts that a router has in flight at a cache, and its concurrency limit for that cache. */
record EndpointLoad(long endpointId, int inFlight, double concurrencyLimit) {}
