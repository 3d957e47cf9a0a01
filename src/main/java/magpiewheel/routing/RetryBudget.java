package magpiewheel.routing;

/** Budget that requests pay into and retries are taken from, so that retries never double the load. */
final class RetryBudget {
    /** Retries that each request adds to the budget. */
    private static final double DEPOSIT_PER_REQUEST = 0.2;
    /** Maximum balance, in retries. */
    private static final double MAX_BALANCE = 20;

    private double balance = MAX_BALANCE;

    /** Adds the share of one arriving request. */
    void deposit() {
        balance = Math.min(MAX_BALANCE, balance + DEPOSIT_PER_REQUEST);
    }

    /** Withdraws a number of retries; returns false, and withdraws none, if the balance is lower. */
    boolean tryWithdraw(int retries) {
        if (balance < retries) {
            return false;
        }
        balance -= retries;
        return true;
    }
}
