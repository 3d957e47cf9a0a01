package magpiewheel.routing;

/** Retries that requests earn and attempts spend, so that retries never double the load. */
final class RetryBudget {
    /** Retries that each request earns. */
    private static final double DEPOSIT_PER_REQUEST = 0.2;
    /** The most that can be saved up. */
    private static final double MAX_BALANCE = 20;

    private double balance = MAX_BALANCE;

    /** A request arrived. */
    void deposit() {
        balance = Math.min(MAX_BALANCE, balance + DEPOSIT_PER_REQUEST);
    }

    /** Spends so many retries; false where fewer are left. */
    boolean tryWithdraw(int retries) {
        if (balance < retries) {
            return false;
        }
        balance -= retries;
        return true;
    }
}
