package magpiewheel.routing;

/**
 * What becomes of an answer that came for a request: whether it may be passed on, and what the client is told with it,
 * in ms: the mark by which it asks for nothing older, and the age of a copy older than asked for (-1: nothing bounds
 * it); 0 where it is not told.
 */
public record DeliveryDecision(boolean deliver, long markMs, long ageMs) {
    /** It is passed on, and nothing is told of it. */
    public static final DeliveryDecision UNCHANGED = new DeliveryDecision(true, 0, 0);
    /** It will not do. */
    public static final DeliveryDecision WITHHELD = new DeliveryDecision(false, 0, 0);
}
