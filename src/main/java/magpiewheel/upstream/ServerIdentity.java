package magpiewheel.upstream;

import magpiewheel.staleness.DiscoveryContact;

/**
 * Decides what proves that the process behind a connection is the server that discovery lists at its address. A new
 * connection proves only that somebody listens there: the server may have died and another process may have taken its
 * address before discovery tells. What is told counts as told within {@link DiscoveryContact#DELIVERY_BOUND_US}, so a
 * connection is proven once it has been open for so long while the endpoint stayed in the list and discovery was in
 * contact; as long as it is open, it leads to the same process. Thread-safe.
 */
final class ServerIdentity {
    /** Unix us; every change of the list that was told before this time is known. */
    private volatile long listCurrentAsOfUs;

    /** Every change of the list that was told before this time (Unix us) is known. */
    void listCurrentAsOf(long atUs) {
        listCurrentAsOfUs = Math.max(listCurrentAsOfUs, atUs);
    }

    /**
     * Whether a connection is proven to lead to the listed server.
     *
     * @param openedAtUs when it was opened, Unix us; 0 if it is not open yet
     * @param listedUntilUs when the endpoint left the list, Unix us; {@link Long#MAX_VALUE} while it is listed
     */
    boolean isProven(long openedAtUs, long listedUntilUs) {
        return openedAtUs != 0
                && openedAtUs + DiscoveryContact.DELIVERY_BOUND_US <= Math.min(listCurrentAsOfUs, listedUntilUs);
    }
}
