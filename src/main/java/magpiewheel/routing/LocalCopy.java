package magpiewheel.routing;

/**
 * The router's local copy of a requested object.
 *
 * @param ageUs its age since the origin issued it
 * @param transferUs how long its transfer to the client takes
 * @param linkBusyUs how long of that the router's own link is busy
 */
public record LocalCopy(long ageUs, long transferUs, long linkBusyUs) {}
