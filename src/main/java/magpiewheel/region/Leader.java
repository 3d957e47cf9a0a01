package magpiewheel.region;

/**
 * The parent to fill from, as agreed by the routers of a region.
 *
 * @param spilled whether the object is placed at the spill parent, which takes load that the leader cannot carry
 */
public record Leader(long parent, long term, boolean spilled) {}
