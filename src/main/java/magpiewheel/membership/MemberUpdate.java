package magpiewheel.membership;

/**
 * State of one member as reported by another or by itself.
 *
 * @param zone the zone that the member announced; {@link #UNKNOWN_ZONE} if it announced none
 * @param firstAccuser the first accuser of a suspect; {@link #NO_MEMBER} for none
 * @param secondAccuser the second accuser of a suspect; {@link #NO_MEMBER} for none
 * @param suspectedForUs how long a suspect has been suspected, in microseconds
 * @param unreachableProvenMs Unix time at which its host proved that no process listens there, in milliseconds; 0 for
 *     none
 */
record MemberUpdate(
        int memberId,
        MemberStatus status,
        long incarnation,
        int zone,
        int address,
        int firstAccuser,
        int secondAccuser,
        long suspectedForUs,
        long unreachableProvenMs) {
    /** Value of an accuser for none. */
    static final int NO_MEMBER = 0xffff;
    /** Value of a zone that is unknown. */
    static final int UNKNOWN_ZONE = 0xff;

    /** Whether it reports the member as dead or as a suspect. */
    boolean declaresFailure() {
        return status == MemberStatus.SUSPECT || status == MemberStatus.DEAD;
    }

    /** Returns an update that a member sends about itself. */
    static MemberUpdate ofSelf(int memberId, MemberStatus status, long incarnation, int zone, int address) {
        return new MemberUpdate(memberId, status, incarnation, zone, address, NO_MEMBER, NO_MEMBER, 0, 0);
    }
}
