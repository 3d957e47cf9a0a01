package magpiewheel.membership;

/** Sends the datagrams and reachability probes of the membership. Neither method may block. */
public interface DatagramSender {
    /** Time after a probe was sent within which its refusal counts. */
    long PROBE_REPLY_TIMEOUT_US = 100_000;

    /** Sends one datagram of at most 256 bytes to a member. */
    void send(int memberId, byte[] message);

    /**
     * Probes whether a process listens at the address of a member. A refusal, if one arrives, is reported with
     * {@link MembershipProtocol#probeRefused} and counts within {@link #PROBE_REPLY_TIMEOUT_US}.
     *
     * @param probedAt the time of this probe, passed on with its refusal
     */
    void probe(int memberId, long probedAt);
}
