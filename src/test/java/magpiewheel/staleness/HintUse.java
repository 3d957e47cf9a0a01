package magpiewheel.staleness;

/** Which parts of the read hints are used: none, bounds and marks, or these and sticky sessions. */
enum HintUse {
    NONE,
    BOUNDS,
    PINS
}
