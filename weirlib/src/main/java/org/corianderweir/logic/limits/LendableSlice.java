package org.corianderweir.logic.limits;

import java.util.Optional;

/**
 * The part of one limit that an entry instance may spend. The instance can lend some of it to other
 * instances and can borrow from them. Implementations are thread-safe; times are monotonic
 * nanoseconds of this process.
 */
public sealed interface LendableSlice permits SliceBucket, ConcurrencyPermits {
  /**
   * What a lender transfers to a borrower with a loan.
   *
   * @param allowance the part of the limit
   * @param tokens accumulated tokens that are transferred with it, at most the capacity of the
   *     allowance
   */
  record LoanAmount(Allowance allowance, double tokens) {}

  /**
   * Compares the slice with the demand of this instance.
   *
   * @param shortage rate, and tokens or permits, that the demand needs in addition to what is held
   * @param excess rate and capacity that are held but not needed
   */
  record DemandBalance(Allowance shortage, Allowance excess) {}

  /**
   * Sets the allowance that this instance owns. Capacity that the change adds starts without
   * tokens.
   */
  void setOwnAllowance(Allowance own, long nowNanoseconds);

  /**
   * Allows spending and lending of the own allowance until the given time. It expires then unless
   * it is renewed.
   */
  void renewOwnAllowance(long validUntilNanoseconds, long nowNanoseconds);

  /**
   * Grants a loan and deducts it from the part of the own allowance that is neither needed here nor
   * lent already. The loan is at most as large as the borrower's shortage. Returns empty if there
   * is nothing to lend or the loan was granted before.
   *
   * @param loan identifier that the borrower chose for its request
   * @param wanted the borrower's shortage: rate, and tokens or permits
   * @param lifetimeNanoseconds lifetime on the borrower's clock
   */
  Optional<LoanAmount> lend(
      LoanIdentifier loan, Allowance wanted, long lifetimeNanoseconds, long nowNanoseconds);

  /**
   * Adds a borrowed loan until it expires. Returns false if it has expired or was added already.
   */
  boolean borrow(
      LoanIdentifier loan, LoanAmount amount, long expiresNanoseconds, long nowNanoseconds);

  /** Extends a borrowed loan to a later expiry. Returns false if it has ended. */
  boolean extendBorrowed(LoanIdentifier loan, long expiresNanoseconds, long nowNanoseconds);

  /**
   * Extends a loan that this instance has lent. Returns false if the loan has ended or this
   * instance can no longer spare the allowance.
   */
  boolean extendLent(LoanIdentifier loan, long lifetimeNanoseconds, long nowNanoseconds);

  /**
   * Ends a borrowed loan before it expires. Returns the tokens to give back to the lender, or empty
   * if the loan is unknown or running requests still depend on it.
   */
  Optional<Double> returnBorrowed(LoanIdentifier loan, long nowNanoseconds);

  /** Takes back a lent loan before it expires. Has no effect if the loan is not outstanding. */
  void acceptReturn(LoanIdentifier loan, double tokens, long nowNanoseconds);

  /** Returns the allowance that could be lent now. */
  Allowance surplus(long nowNanoseconds);

  /** Compares the slice with the demand measured since the last call. */
  DemandBalance measureDemandBalance(long nowNanoseconds);
}
