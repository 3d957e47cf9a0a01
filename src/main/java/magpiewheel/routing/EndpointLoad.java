package magpiewheel.routing;

/** Attempts that the sender has in hand at a cache, and how many it thinks the cache carries. */
record EndpointLoad(long endpointId, int inFlight, double concurrencyLimit) {}
