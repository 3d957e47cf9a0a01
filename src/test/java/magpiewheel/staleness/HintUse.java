package magpiewheel.staleness;

/** What of the reads' hints counts: nothing, bounds and marks, or these with pins. */
enum HintUse {
    NONE,
    BOUNDS,
    PINS
}
