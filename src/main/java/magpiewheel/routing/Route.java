package magpiewheel.routing;

/**
 * Where an attempt goes.
 *
 * @param source where a miss is filled from; the target itself for nowhere
 * @param fillProbability how likely the attempt becomes a fill, 0 for certain hits
 * @param cachedOnly whether it asks only for what the target holds
 * @param noFurtherAttempts whether no other attempt may follow
 */
record Route(Endpoint target, Endpoint source, double fillProbability, boolean cachedOnly, boolean noFurtherAttempts) {}
