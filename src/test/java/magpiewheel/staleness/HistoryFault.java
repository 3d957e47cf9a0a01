package magpiewheel.staleness;

/** The kind of fault that is injected into a simulated history. */
enum HistoryFault {
    NONE,
    LOSS,
    SPLIT,
    KILLED,
    PAUSED,
    LATE_PURGES,
    BOARD,
    CLOCKS,
    CACHES,
    ALL
}
