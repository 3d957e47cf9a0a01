package magpiewheel.region;

/**
 * How a parent bears load after its start, as the settings have it: from a part {@code from} of its capacity it warms
 * up in {@code warmUpUs}; more than {@code multiple} of what it bears, within {@code tipAfterUs}, makes it fall.
 */
public record Cold(double from, long warmUpUs, double multiple, long tipAfterUs) {}
