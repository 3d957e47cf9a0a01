package magpiewheel.routing;

/** Reads of bounded staleness, as whoever passes answers on sees them. */
public interface BoundedReads {
    /**
     * What becomes of an answer whose copy the origin gave out at a Unix ms (0 or less: not told). It changes nothing,
     * and may be asked from inside a call of the module.
     */
    DeliveryDecision evaluateDelivery(long now, long request, long mintedMs);

    /**
     * An answer came to an attempt of a request at a time, with a copy that the origin gave out at a Unix ms (0 or
     * less: not told). It is told before {@link #evaluateDelivery} is asked: a copy may prove by itself what no clock
     * did.
     */
    void responseReceived(long request, int attempt, long at, CacheStatus note, long mintedMs);

    /** Whether what a request's hint asks for can't be proven, or a copy came that would not do. */
    boolean isUnproven(long request);

    /** The board was heard at a time, with all that it told before. */
    void discoveryHeard(long at);
}
