package magpiewheel.staleness;

/** How long discovery has been silent, and what strict reads may still prove. */
final class DiscoveryFreshness {
    /** The board speaks each second; past this its connection counts as lost, and purges may be missed. */
    static final long SILENT_AFTER_US = 2_300_000;
    /** Past this a purge counts as told to every front. */
    static final long CUT_OFF_AFTER_US = 7_000_000;
    /** So long it must have been heard again before purges count as caught up: one empty frame more. */
    static final long CATCH_UP_US = 1_200_000;

    private long heard;
    private long heardSince;

    /** What a front may still prove. */
    enum State {
        /** All that hints ask. */
        HEARD,
        /** A purge may be missed that is older than the silence allowed: only copies younger than that silence. */
        SILENT,
        /** Nothing. */
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
