package magpiewheel.membership;

/**
 * A fault to be injected into a simulated fleet.
 *
 * @param atMs when it starts, in milliseconds after the start-up of the fleet
 * @param durationMs how long it lasts, in milliseconds; the maximum delay of a delay fault; whether a drain begins
 *     (even) or ends (odd)
 * @param memberId the affected member, modulo the member count
 * @param otherMemberId the other member of a one-way cut, modulo the member count; part of the seed of a split
 */
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
