package magpiewheel.routing;

/**
 * Whether a response is delivered, and which metadata the client gets with it.
 *
 * @param deliver whether it may be delivered
 * @param markMs the mark that the client may send with a later request to get no older copy, Unix milliseconds of the
 *     origin; 0 for none
 * @param ageMs the age of a copy that is older than preferred; 0 if it is not older, -1 if its age is not bounded
 */
public record DeliveryDecision(boolean deliver, long markMs, long ageMs) {
    /** The response is delivered without metadata. */
    public static final DeliveryDecision UNCHANGED = new DeliveryDecision(true, 0, 0);
    /** The response is not delivered. */
    public static final DeliveryDecision WITHHELD = new DeliveryDecision(false, 0, 0);
}
