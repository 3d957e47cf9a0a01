package magpiewheel.membership;

/** A fault that a schedule injects into a fleet. */
record InjectedFault(Kind kind, long atMs, long forMs, int front, int other) {
    enum Kind {
        KILL,
        VANISH,
        RESTART,
        SECOND,
        PAUSE,
        SPLIT,
        HEAL,
        MUTE,
        DEAF,
        ONE_WAY,
        LOSS,
        HOLD,
        LEAVE
    }
}
