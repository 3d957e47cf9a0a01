package magpiewheel.routing;

import magpiewheel.staleness.DiscoveryContact;

/**
 * Decides which copies may still be served in view of purges: those that were received, and those that count as
 * announced although discovery never delivered them. Holds for the router's own copies and for those of endpoints.
 */
final class PurgedCopyPolicy {
    /** Margin for rounding, in microseconds, subtracted from each age limit. */
    private static final long MARGIN_US = 1_000;

    private final PurgeLog purges;
    private final DiscoveryContact contact = new DiscoveryContact();
    /** How long after a purge caches drop their older copies, in microseconds. */
    private final long completionUs;
    /**
     * How long after a received purge its age limit applies, in microseconds. A fill that began before the purge may
     * end after the caches dropped their older copies.
     */
    private final long relevantUs;

    PurgedCopyPolicy(PurgeLog purges, long completionUs, long longestDeadlineUs) {
        this.purges = purges;
        this.completionUs = completionUs;
        this.relevantUs = completionUs + longestDeadlineUs;
    }

    /** Returns when discovery was heard; the caller reports it there. */
    DiscoveryContact contact() {
        return contact;
    }

    /**
     * Whether a purge that counts as announced may be newer than the router's own copy, issued at a time. Endpoints
     * drop purged copies by themselves, the router does not, so purges of any age count.
     */
    boolean mayBePurged(long now, RoutingRequest request, long issuedAt) {
        return issuedAt <= purges.lastPurge(request.objectId(), request.group())
                || contact.mayHaveMissedPurgeSince(now, issuedAt);
    }

    /**
     * Returns the maximum age of an acceptable copy at an endpoint, in microseconds. 0 stands for the class's own fresh
     * time, so a limit is at least 1.
     */
    long ageLimit(long now, InFlightRequest request) {
        long purge = Math.max(receivedPurge(now, request.request), missedPurge(now));
        if (purge == Long.MIN_VALUE) {
            return 0;
        }
        long limit = Math.max(1, now - purge - MARGIN_US);
        long freshUs = request.requestClass.freshUs();
        return freshUs > 0 ? Math.min(limit, freshUs) : limit;
    }

    /** Returns the last received purge that endpoints may not have completed; {@link Long#MIN_VALUE} for none. */
    private long receivedPurge(long now, RoutingRequest request) {
        long purge = purges.lastPurge(request.objectId(), request.group());
        return purge != Long.MIN_VALUE && now - purge <= relevantUs ? purge : Long.MIN_VALUE;
    }

    /**
     * Returns the latest time of a purge that may not have been received, counts as announced, and may not be completed
     * by endpoints; {@link Long#MIN_VALUE} for none.
     */
    private long missedPurge(long now) {
        boolean incomplete = completionUs > DiscoveryContact.DELIVERY_BOUND_US;
        return incomplete && !contact.knowsEveryAnnouncedPurge(now)
                ? now - DiscoveryContact.DELIVERY_BOUND_US
                : Long.MIN_VALUE;
    }
}
