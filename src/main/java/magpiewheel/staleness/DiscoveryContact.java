package magpiewheel.staleness;

/**
 * What is known of the purges that count as announced, by when discovery was last heard. Without contact for longer
 * than a message may take, a purge that this router never received may count as announced: only copies that are younger
 * than every such purge are then safe to serve. Times are microseconds.
 */
public final class DiscoveryContact {
    /** A message of discovery counts as received this long after it was sent, whether it arrived or not. */
    public static final long DELIVERY_BOUND_US = 7_000_000;

    private boolean expected;
    private long currentAsOf;

    /** From now on a router follows a discovery service; what its configuration names is current. */
    public void expectFrom(long now) {
        if (!expected) {
            expected = true;
            currentAsOf = now;
        }
    }

    /**
     * A frame arrived, and every event before it was received.
     *
     * @param at when it arrived
     * @param delayUs how late the frames of its connection are
     */
    public void heard(long at, long delayUs) {
        currentAsOf = Math.max(currentAsOf, at - delayUs);
    }

    /** Whether each purge that counts as announced is known; always true for a router that follows no discovery. */
    public boolean knowsEveryAnnouncedPurge(long now) {
        return !expected || now - currentAsOf <= DELIVERY_BOUND_US;
    }

    /** Whether a purge that was never received, but counts as announced, may be newer than a copy issued at a time. */
    public boolean mayHaveMissedPurgeSince(long now, long issuedAt) {
        return !knowsEveryAnnouncedPurge(now) && now - issuedAt >= DELIVERY_BOUND_US;
    }
}
