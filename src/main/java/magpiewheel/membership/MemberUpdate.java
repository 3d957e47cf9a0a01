package magpiewheel.membership;

/**
 * What one member says of another.
 *
 * @param zone the zone that the other told of itself; {@link #UNKNOWN_ZONE} where it did not
 * @param firstAccuser the first accuser of a suspect; {@link #NO_MEMBER} for none
 * @param secondAccuser the second accuser of a suspect; {@link #NO_MEMBER} for none
 * @param suspectedForUs for how long it is suspected
 * @param unreachableProvenMs the Unix millisecond at which its host proved that nobody listens there; 0 for none
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
    /** In the place of an accuser: none. */
    static final int NO_MEMBER = 0xffff;
    /** In the place of a zone that is unknown. */
    static final int UNKNOWN_ZONE = 0xff;

    /** Whether it says that the member failed, or is suspected of that. */
    boolean declaresFailure() {
        return status == MemberStatus.SUSPECT || status == MemberStatus.DEAD;
    }

    /** What a member says of itself. */
    static MemberUpdate ofSelf(int memberId, MemberStatus status, long incarnation, int zone, int address) {
        return new MemberUpdate(memberId, status, incarnation, zone, address, NO_MEMBER, NO_MEMBER, 0, 0);
    }
}
