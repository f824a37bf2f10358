package org.corianderweir.logic.delivery;

import static org.testng.Assert.assertEquals;

import org.corianderweir.model.request.Execution;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RetryPolicy} and {@link RetryBudget}. */
public class RetryPolicyTest {
  @DataProvider
  public Object[][] attempts() {
    return new Object[][] {
      {"GET", Execution.NOT_RUN, 1L, 0.0, true},
      {"POST", Execution.NOT_RUN, 1L, 0.0, true},
      {"GET", Execution.UNKNOWN, 1L, 1.0, true},
      {"GET", Execution.UNKNOWN, 1L, 0.0, false},
      {"POST", Execution.UNKNOWN, 1L, 1.0, false},
      {"PATCH", Execution.UNKNOWN, 1L, 1.0, false},
      {"GET", Execution.NOT_RUN, 0L, 1.0, false}
    };
  }

  @Test(dataProvider = "attempts")
  public void retriesOnlySafeRequests(
      String method, Execution execution, long remaining, double tokens, boolean expected) {
    RetryBudget budget = new RetryBudget(0.1, tokens);
    assertEquals(RetryPolicy.mayRetry(method, execution, remaining, budget), expected);
  }

  @Test
  public void budgetIsShareOfTraffic() {
    RetryBudget budget = new RetryBudget(0.25, 2);
    int retries = 0;
    for (int request = 0; request < 100; request++) {
      budget.deposit();
      retries += budget.tryWithdraw() ? 1 : 0;
    }
    assertEquals(retries, 26);
  }
}
