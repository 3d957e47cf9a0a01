package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    private void withdrawAll() {
        while (budget.tryWithdraw(1)) {
            // Each call withdraws one retry.
        }
    }

    @Test
    void aFullBudgetHoldsTwentyRetries() {
        for (int retry = 0; retry < 20; retry++) {
            assertTrue(budget.tryWithdraw(1));
        }
        assertFalse(budget.tryWithdraw(1));
        assertTrue(budget.tryWithdraw(0), "a first attempt costs nothing");
    }

    @Test
    void fiveRequestsDepositOneRetry() {
        withdrawAll();
        for (int request = 0; request < 4; request++) {
            budget.deposit();
        }
        assertFalse(budget.tryWithdraw(1));
        budget.deposit();
        budget.deposit();
        assertTrue(budget.tryWithdraw(1));
        assertFalse(budget.tryWithdraw(1));
    }

    @Test
    void theBalanceNeverExceedsTwentyRetries() {
        for (int request = 0; request < 1_000; request++) {
            budget.deposit();
        }
        assertTrue(budget.tryWithdraw(20));
        assertFalse(budget.tryWithdraw(1));
    }
}
