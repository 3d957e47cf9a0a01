package magpiewheel.staleness;

/** Derives from the time since the last discovery frame what strict reads can still prove. */
final class DiscoveryFreshness {
    /**
     * Discovery sends a frame each second; without one for this long, its connection counts as lost and purges may have
     * been missed.
     */
    static final long SILENT_AFTER_US = 2_300_000;
    /** Time after which a purge counts as delivered to every router. */
    static final long CUT_OFF_AFTER_US = DiscoveryContact.DELIVERY_BOUND_US;
    /** Time after a silence until missed purges count as received: one more empty frame. */
    static final long CATCH_UP_US = 1_200_000;

    private long heard;
    private long heardSince;

    /** What a router can still prove. */
    enum State {
        /** Any bound of a hint. */
        HEARD,
        /**
         * Purges may have been missed: only that a copy is at most {@link #SILENT_AFTER_US} old, since a purge that it
         * violates is then as recent.
         */
        SILENT,
        /** Nothing: every strict read is rejected. */
        CUT_OFF
    }

    DiscoveryFreshness(long now) {
        heard = now - SILENT_AFTER_US - 1;
        heardSince = now;
    }

    void heard(long now) {
        if (now - heard > SILENT_AFTER_US) {
            heardSince = now;
        }
        heard = Math.max(heard, now);
    }

    State state(long now) {
        long silenceUs = now - heard;
        if (silenceUs > CUT_OFF_AFTER_US) {
            return State.CUT_OFF;
        }
        return silenceUs > SILENT_AFTER_US || now - heardSince < CATCH_UP_US ? State.SILENT : State.HEARD;
    }
}
