package magpiewheel.membership;

/** A fault that a schedule injects into a fleet. */
record InjectedFault(Kind kind, long atMs, long durationMs, int memberId, int otherMemberId) {
    enum Kind {
        KILL,
        MACHINE_FAILURE,
        RESTART,
        SECOND_PROCESS,
        PAUSE,
        SPLIT,
        HEAL,
        OUTBOUND_CUT,
        INBOUND_CUT,
        ONE_WAY_CUT,
        LOSS,
        DELAY,
        DRAIN
    }
}
