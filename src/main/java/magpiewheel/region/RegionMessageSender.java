package magpiewheel.region;

/** Sends the messages of the region protocol. Implementations must not block. */
public interface RegionMessageSender {
    /** Sends one datagram of at most 256 bytes to a router. */
    void send(int router, byte[] message);
}
