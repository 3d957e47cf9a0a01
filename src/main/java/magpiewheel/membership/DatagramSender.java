package magpiewheel.membership;

/** Sends the membership's datagrams and probes. Neither call may wait. */
public interface DatagramSender {
    /** us; the latest that an answer to a probe counts. */
    long PROBE_REPLY_TIMEOUT_US = 100_000;

    /** Sends one datagram of at most 256 bytes to a member. */
    void send(int memberId, byte[] message);

    /**
     * Probes whether anybody listens at a member's address. A refusal, if one comes, is reported with
     * {@link MembershipProtocol#probeRefused} and the time of this probe; it counts within
     * {@link #PROBE_REPLY_TIMEOUT_US}.
     */
    void probe(int memberId, long probedAt);
}
