package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ConcurrencyPermits}, alone and between a lender and a borrower. */
public class ConcurrencyPermitsTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long LOAN = 10 * SECOND;
  private static final LoanIdentifier FIRST = new LoanIdentifier("borrower", 1, 1);

  @DataProvider
  public Object[][] deadlines() {
    return new Object[][] {{5 * SECOND, true}, {LOAN - 1, true}, {LOAN, false}, {LOAN * 2, false}};
  }

  @Test(dataProvider = "deadlines")
  public void borrowedPermitsCoverOnlyRequestsThatEndBeforeThem(long deadline, boolean expected) {
    ConcurrencyPermits borrower = new ConcurrencyPermits();
    borrower.borrow(FIRST, new LendableSlice.Parcel(new Allowance(0, 1), 0), LOAN, 0);
    assertEquals(borrower.tryAcquire(deadline, 0), expected);
  }

  @Test
  public void doesNotLendPermitsThatAreHeld() {
    ConcurrencyPermits lender = owner(3);
    lender.tryAcquire(SECOND, 0);
    lender.tryAcquire(SECOND, 0);
    assertEquals(
        lender.lend(FIRST, new Allowance(0, 3), LOAN, 0),
        Optional.of(new LendableSlice.Parcel(new Allowance(0, 1), 0)));
  }

  @Test
  public void doesNotGiveBackPermitsThatRequestsRunOn() {
    ConcurrencyPermits borrower = new ConcurrencyPermits();
    borrower.borrow(FIRST, new LendableSlice.Parcel(new Allowance(0, 1), 0), LOAN, 0);
    borrower.tryAcquire(SECOND, 0);
    assertEquals(borrower.giveBack(FIRST, 0), Optional.empty());
  }

  @Test
  public void neverRunsMoreThanTheLimitTogether() {
    List<Long> broken = new ArrayList<>();
    for (long seed = 0; seed < 200; seed++) {
      if (mostRunning(seed, false) > 9) {
        broken.add(seed);
      }
    }
    assertEquals(broken, List.of());
  }

  @Test
  public void catchesLenderThatDoesNotDeduct() {
    long most = 0;
    for (long seed = 0; seed < 200; seed++) {
      most = Math.max(most, mostRunning(seed, true));
    }
    assertEquals(most > 9, true);
  }

  /** Requests run past loans that end, are lost and are given back; returns the most at once. */
  private static long mostRunning(long seed, boolean lenderKeepsLoans) {
    SplittableRandom random = new SplittableRandom(seed);
    ConcurrencyPermits lender = owner(9);
    ConcurrencyPermits borrower = new ConcurrencyPermits();
    List<Runnable> ends = new ArrayList<>();
    List<Long> endTimes = new ArrayList<>();
    long most = 0;
    for (int step = 0; step < 2_000; step++) {
      long now = step * SECOND / 20;
      for (int index = ends.size() - 1; index >= 0; index--) {
        if (endTimes.get(index) <= now) {
          ends.remove(index).run();
          endTimes.remove(index);
        }
      }
      ConcurrencyPermits place = random.nextBoolean() ? lender : borrower;
      long deadline = now + 1 + random.nextLong(8 * SECOND);
      if (place.tryAcquire(deadline, now)) {
        ends.add(place::release);
        endTimes.add(deadline);
      }
      exchange(lender, borrower, lenderKeepsLoans, step, now, random);
      lender.position(now);
      most = Math.max(most, lender.held() + borrower.held());
    }
    return most;
  }

  private static void exchange(
      ConcurrencyPermits lender,
      ConcurrencyPermits borrower,
      boolean lenderKeepsLoans,
      int step,
      long now,
      SplittableRandom random) {
    LoanIdentifier loan = new LoanIdentifier("borrower", 1, step);
    Allowance wanted = new Allowance(0, 1 + random.nextInt(3));
    Optional<LendableSlice.Parcel> parcel =
        random.nextInt(10) == 0 ? lender.lend(loan, wanted, LOAN, now) : Optional.empty();
    if (parcel.isPresent() && random.nextInt(5) > 0) {
      borrower.borrow(loan, parcel.get(), now + LOAN, now);
    }
    if (parcel.isPresent() && lenderKeepsLoans) {
      lender.takeBack(loan, 0, now);
    }
    LoanIdentifier earlier = new LoanIdentifier("borrower", 1, Math.max(0, step - 40));
    if (borrower.giveBack(earlier, now).isPresent()) {
      lender.takeBack(earlier, 0, now);
    }
  }

  private static ConcurrencyPermits owner(int permits) {
    ConcurrencyPermits slice = new ConcurrencyPermits();
    slice.setOwn(new Allowance(0, permits), 0);
    slice.renewOwn(Long.MAX_VALUE, 0);
    return slice;
  }
}
