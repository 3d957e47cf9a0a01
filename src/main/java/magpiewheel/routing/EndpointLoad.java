package magpiewheel.routing;

/** The attempts that the sender has in flight at a cache, and its concurrency limit there. */
record EndpointLoad(long endpointId, int inFlight, double concurrencyLimit) {}
