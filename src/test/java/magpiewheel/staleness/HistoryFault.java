package magpiewheel.staleness;

/** What goes wrong in a history. */
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
