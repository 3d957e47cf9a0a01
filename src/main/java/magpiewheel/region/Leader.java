package magpiewheel.region;

/**
 * The parent to fill from, as the routers of a region agreed.
 *
 * @param second whether the object is placed at the second in rank
 */
public record Leader(long parent, long term, boolean spilled) {}
