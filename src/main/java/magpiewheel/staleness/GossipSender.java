package magpiewheel.staleness;

/** Sends the gossip datagrams of bounded-staleness reads. Implementations must not block. */
public interface GossipSender {
    /** Sends one datagram of at most 256 bytes to a router. */
    void send(int router, byte[] message);
}
