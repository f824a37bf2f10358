package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ConcurrencyPermits}, of one instance and of a lender with a borrower. */
public class ConcurrencyPermitsTest {
  private static final long SECOND_NANOSECONDS = 1_000_000_000L;
  private static final long LOAN_LIFETIME_NANOSECONDS = 10 * SECOND_NANOSECONDS;
  private static final LoanIdentifier FIRST = new LoanIdentifier("borrower", 1, 1);

  @DataProvider
  public Object[][] deadlines() {
    return new Object[][] {
      {5 * SECOND_NANOSECONDS, true},
      {LOAN_LIFETIME_NANOSECONDS - 1, true},
      {LOAN_LIFETIME_NANOSECONDS, false},
      {LOAN_LIFETIME_NANOSECONDS * 2, false}
    };
  }

  @Test(dataProvider = "deadlines")
  public void borrowedPermitsCoverOnlyRequestsThatEndBeforeThem(long deadline, boolean expected) {
    ConcurrencyPermits borrower = new ConcurrencyPermits();
    borrower.borrow(
        FIRST, new LendableSlice.LoanAmount(new Allowance(0, 1), 0), LOAN_LIFETIME_NANOSECONDS, 0);
    assertEquals(borrower.tryAcquire(deadline, 0), expected);
  }

  @Test
  public void doesNotLendPermitsThatAreHeld() {
    ConcurrencyPermits lender = permitsOwning(3);
    lender.tryAcquire(SECOND_NANOSECONDS, 0);
    lender.tryAcquire(SECOND_NANOSECONDS, 0);
    assertEquals(
        lender.lend(FIRST, new Allowance(0, 3), LOAN_LIFETIME_NANOSECONDS, 0),
        Optional.of(new LendableSlice.LoanAmount(new Allowance(0, 1), 0)));
  }

  @Test
  public void doesNotReturnPermitsThatRunningRequestsNeed() {
    ConcurrencyPermits borrower = new ConcurrencyPermits();
    borrower.borrow(
        FIRST, new LendableSlice.LoanAmount(new Allowance(0, 1), 0), LOAN_LIFETIME_NANOSECONDS, 0);
    borrower.tryAcquire(SECOND_NANOSECONDS, 0);
    assertEquals(borrower.returnBorrowed(FIRST, 0), Optional.empty());
  }

  @Test
  public void neverRunsMoreThanTheLimitTogether() {
    List<Long> broken = new ArrayList<>();
    for (long seed = 0; seed < 200; seed++) {
      if (maximumRunning(seed, false) > 9) {
        broken.add(seed);
      }
    }
    assertEquals(broken, List.of());
  }

  @Test
  public void catchesLenderThatDoesNotDeduct() {
    long most = 0;
    for (long seed = 0; seed < 200; seed++) {
      most = Math.max(most, maximumRunning(seed, true));
    }
    assertEquals(most > 9, true);
  }

  /**
   * Runs requests while loans are granted, lost, returned and expire; returns the largest number of
   * requests that ran at the same time.
   */
  private static long maximumRunning(long seed, boolean lenderDoesNotDeduct) {
    SplittableRandom random = new SplittableRandom(seed);
    ConcurrencyPermits lender = permitsOwning(9);
    ConcurrencyPermits borrower = new ConcurrencyPermits();
    List<Runnable> ends = new ArrayList<>();
    List<Long> endTimes = new ArrayList<>();
    long most = 0;
    for (int step = 0; step < 2_000; step++) {
      long now = step * SECOND_NANOSECONDS / 20;
      for (int index = ends.size() - 1; index >= 0; index--) {
        if (endTimes.get(index) <= now) {
          ends.remove(index).run();
          endTimes.remove(index);
        }
      }
      ConcurrencyPermits slice = random.nextBoolean() ? lender : borrower;
      long deadline = now + 1 + random.nextLong(8 * SECOND_NANOSECONDS);
      if (slice.tryAcquire(deadline, now)) {
        ends.add(slice::release);
        endTimes.add(deadline);
      }
      exchangeLoans(lender, borrower, lenderDoesNotDeduct, step, now, random);
      lender.measureDemandBalance(now);
      most = Math.max(most, lender.held() + borrower.held());
    }
    return most;
  }

  private static void exchangeLoans(
      ConcurrencyPermits lender,
      ConcurrencyPermits borrower,
      boolean lenderDoesNotDeduct,
      int step,
      long now,
      SplittableRandom random) {
    LoanIdentifier loan = new LoanIdentifier("borrower", 1, step);
    Allowance wanted = new Allowance(0, 1 + random.nextInt(3));
    Optional<LendableSlice.LoanAmount> amount =
        random.nextInt(10) == 0
            ? lender.lend(loan, wanted, LOAN_LIFETIME_NANOSECONDS, now)
            : Optional.empty();
    if (amount.isPresent() && random.nextInt(5) > 0) {
      borrower.borrow(loan, amount.get(), now + LOAN_LIFETIME_NANOSECONDS, now);
    }
    if (amount.isPresent() && lenderDoesNotDeduct) {
      lender.acceptReturn(loan, 0, now);
    }
    LoanIdentifier earlier = new LoanIdentifier("borrower", 1, Math.max(0, step - 40));
    if (borrower.returnBorrowed(earlier, now).isPresent()) {
      lender.acceptReturn(earlier, 0, now);
    }
  }

  private static ConcurrencyPermits permitsOwning(int permits) {
    ConcurrencyPermits slice = new ConcurrencyPermits();
    slice.setOwnAllowance(new Allowance(0, permits), 0);
    slice.renewOwnAllowance(Long.MAX_VALUE, 0);
    return slice;
  }
}
