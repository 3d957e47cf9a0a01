package magpiewheel.routing;

/** Reads with a staleness bound, as whoever delivers responses sees them. */
public interface BoundedReads {
    /**
     * Whether a response may be delivered, by the time at which the origin gave its copy out. It changes nothing, and
     * may be called from inside an action of the policy.
     *
     * @param originTimeMs Unix milliseconds of the origin's clock; 0 or less where the response does not say
     */
    DeliveryDecision evaluateDelivery(long now, long requestId, long originTimeMs);

    /**
     * A response to an attempt came at a time. Called before {@link #evaluateDelivery}: a copy may prove by itself what
     * no clock did.
     *
     * @param originTimeMs Unix milliseconds of the origin's clock; 0 or less where the response does not say
     */
    void responseReceived(long requestId, int attempt, long at, CacheStatus status, long originTimeMs);

    /** Whether the bound of a request can't be proven, or a copy came that violates it. */
    boolean isUnproven(long requestId);

    /** Discovery was heard at a time, with all that it sent before. */
    void discoveryHeard(long at);
}
