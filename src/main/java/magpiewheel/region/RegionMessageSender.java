package magpiewheel.region;

/** Sends the messages of a region. It may not wait. */
public interface RegionMessageSender {
    /** One datagram of at most 256 bytes to a front. */
    void send(int router, byte[] message);
}
