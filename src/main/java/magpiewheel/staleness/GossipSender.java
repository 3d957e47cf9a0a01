package magpiewheel.staleness;

/** Sends the messages of reads of bounded staleness. It may not wait. */
public interface GossipSender {
    /** One datagram of at most 256 bytes to a front. */
    void send(int router, byte[] message);
}
