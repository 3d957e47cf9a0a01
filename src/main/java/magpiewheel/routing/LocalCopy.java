package magpiewheel.routing;

/**
 * A copy that the router itself holds of what is asked for: its age since the origin gave it out, the time that its
 * transfer takes, and for how much of that it takes the router's own link up.
 */
public record LocalCopy(long ageUs, long transferUs, long linkUs) {}
