package magpiewheel.routing;

/**
 * The router's own copy of a requested object.
 *
 * @param ageUs its age since the origin gave it out
 * @param transferUs how long its transfer to the client takes
 * @param linkBusyUs for how much of that the router's own link is busy
 */
public record LocalCopy(long ageUs, long transferUs, long linkBusyUs) {}
