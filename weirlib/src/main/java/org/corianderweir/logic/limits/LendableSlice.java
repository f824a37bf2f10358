package org.corianderweir.logic.limits;

import java.util.Optional;

/**
 * The part of one limit that an entry instance may spend, parts of which can be lent and borrowed.
 * Implementations are thread-safe; times are monotonic nanoseconds of this process.
 */
public sealed interface LendableSlice permits SliceBucket, ConcurrencyPermits {
  /**
   * What moves with a loan.
   *
   * @param allowance the part of the limit
   * @param tokens tokens saved up that move with it, at most its capacity
   */
  record LoanAmount(Allowance allowance, double tokens) {}

  /**
   * How a slice stands against the demand of this instance.
   *
   * @param shortage what the demand calls for beyond what is held: rate, and tokens or permits
   * @param excess what could be done without: rate, and capacity
   */
  record DemandBalance(Allowance shortage, Allowance excess) {}

  /** Sets this instance's own part; what is new in it starts empty. */
  void setOwnAllowance(Allowance own, long nowNanoseconds);

  /** Lets the own part be spent and lent until the given time; it ends by itself then. */
  void renewOwnAllowance(long validUntilNanoseconds, long nowNanoseconds);

  /**
   * Deducts a loan from the own part that is neither needed nor lent, for at most the missing rate
   * and tokens or permits of the borrower. Empty if there is nothing to lend or the loan was
   * granted before.
   *
   * @param loan the request
   * @param wanted what the borrower is missing
   * @param lifetimeNanoseconds lifetime on the borrower's clock
   */
  Optional<LoanAmount> lend(
      LoanIdentifier loan, Allowance wanted, long lifetimeNanoseconds, long nowNanoseconds);

  /** Adds a loan until it expires; returns false if it has expired or is known already. */
  boolean borrow(
      LoanIdentifier loan, LoanAmount amount, long expiresNanoseconds, long nowNanoseconds);

  /** Lengthens a borrowed loan; returns false if it has ended. */
  boolean extendBorrowed(LoanIdentifier loan, long expiresNanoseconds, long nowNanoseconds);

  /** Lengthens a lent loan; returns false if it has ended or this instance needs it itself. */
  boolean extendLent(LoanIdentifier loan, long lifetimeNanoseconds, long nowNanoseconds);

  /**
   * Ends a borrowed loan early; returns the tokens that go back with it. Empty if the loan is not
   * known or requests still run on it.
   */
  Optional<Double> returnBorrowed(LoanIdentifier loan, long nowNanoseconds);

  /** Takes a lent loan back early; ignored if it is not outstanding. */
  void acceptReturn(LoanIdentifier loan, double tokens, long nowNanoseconds);

  /** Returns what could be lent now. */
  Allowance surplus(long nowNanoseconds);

  /** Returns how the slice stands; measures demand since the last call. */
  DemandBalance measureDemandBalance(long nowNanoseconds);
}
