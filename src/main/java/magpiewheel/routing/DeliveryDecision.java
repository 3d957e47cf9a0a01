package magpiewheel.routing;

/**
 * Whether a response is delivered, and what the client is told with it.
 *
 * @param deliver whether it may be delivered
 * @param markMs what the client may hand back to get nothing older, Unix milliseconds of the origin; 0 for none
 * @param ageMs the age of a copy older than was preferred; 0 where it is not older, -1 where its age is not bounded
 */
public record DeliveryDecision(boolean deliver, long markMs, long ageMs) {
    /** It is delivered as it is. */
    public static final DeliveryDecision UNCHANGED = new DeliveryDecision(true, 0, 0);
    /** It is not delivered. */
    public static final DeliveryDecision WITHHELD = new DeliveryDecision(false, 0, 0);
}
