package magpiewheel.routing;

/** Retries that requests earn and attempts spend, so that retries never double the load. */
final class RetryBudget {
    /** Retries that each request earns. */
    private static final double EARNED_PER_REQUEST = 0.2;
    /** The most that can be saved up. */
    private static final double MAX_SAVED = 20;

    private double saved = MAX_SAVED;

    /** A request arrived. */
    void earn() {
        saved = Math.min(MAX_SAVED, saved + EARNED_PER_REQUEST);
    }

    /** Spends so many retries; false where fewer are left. */
    boolean trySpend(int retries) {
        if (saved < retries) {
            return false;
        }
        saved -= retries;
        return true;
    }
}
