package magpiewheel.routing;

/**
 * Where an attempt is sent and its misses are filled from.
 *
 * @param source the endpoint that fills a miss; the target itself if a miss is not filled
 * @param fillProbability the probability that the attempt becomes a fill; 0 for known hits, writes and cached-only
 *     attempts
 * @param cachedOnly whether the target may answer only from what it holds
 * @param noFurtherAttempts whether the request gets no attempt after this one
 */
record Route(Endpoint target, Endpoint source, double fillProbability, boolean cachedOnly, boolean noFurtherAttempts) {}
