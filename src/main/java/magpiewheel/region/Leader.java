package magpiewheel.region;

/**
 * The parent to fill from, as the fronts of a region agreed; {@code second} where the object has its place at the
 * second in rank.
 */
public record Leader(long parent, long term, boolean second) {}
