package magpiewheel.routing;

/** Bounded-staleness reads, as seen by the code that delivers responses. */
public interface BoundedReads {
    /**
     * Decides whether a response may be delivered, by the origin time of its copy. Changes no state, and may be called
     * from inside an action of the policy.
     *
     * @param originTimeMs Unix milliseconds of the origin's clock; 0 or less where the response does not state it
     */
    DeliveryDecision evaluateDelivery(long now, long requestId, long originTimeMs);

    /**
     * Records the response to an attempt. Must be called before {@link #evaluateDelivery}: the copy may itself prove a
     * bound that could not be proven without the origin's clock.
     *
     * @param at the time at which the response arrived
     * @param originTimeMs Unix milliseconds of the origin's clock; 0 or less where the response does not state it
     */
    void responseReceived(long requestId, int attempt, long at, CacheStatus status, long originTimeMs);

    /** Whether the bound of a request can't be proven, or a response violated it. */
    boolean isUnproven(long requestId);

    /** Records that discovery was heard from at a time, and that everything it sent earlier has been received. */
    void discoveryHeard(long at);
}
