package org.corianderweir.logic.limits;

/**
 * Messages between the lenders and borrowers of a limit. Any message may be lost, delayed,
 * duplicated or reordered.
 */
public sealed interface LoanMessage {
  /** Returns the loan that the message is about. */
  LoanIdentifier loan();

  /** Returns the name of the limit, unique among limits of all kinds. */
  String limit();

  /**
   * Requests a loan.
   *
   * @param loan identifier that the borrower chose
   * @param limit name of the limit
   * @param maximum largest allowance that the borrower can use
   * @param lifetimeNanoseconds lifetime on the borrower's clock, counted from the time it sent this
   *     message
   */
  record Request(LoanIdentifier loan, String limit, Allowance maximum, long lifetimeNanoseconds)
      implements LoanMessage {}

  /**
   * Responds to a request.
   *
   * @param loan the requested loan
   * @param limit name of the limit
   * @param amount what is lent; its allowance is empty if there is nothing to lend
   * @param surplus what the lender could still lend after this grant
   */
  record Grant(
      LoanIdentifier loan, String limit, LendableSlice.LoanAmount amount, Allowance surplus)
      implements LoanMessage {}

  /**
   * Requests the renewal of a loan.
   *
   * @param loan the loan
   * @param limit name of the limit
   * @param attempt number of the renewal attempt, chosen by the borrower
   * @param lifetimeNanoseconds lifetime on the borrower's clock, counted from the time it sent this
   *     message
   */
  record RenewalRequest(LoanIdentifier loan, String limit, long attempt, long lifetimeNanoseconds)
      implements LoanMessage {}

  /** Confirms that the lender renewed a loan as requested. */
  record RenewalConfirmation(LoanIdentifier loan, String limit, long attempt)
      implements LoanMessage {}

  /**
   * Returns a loan that the borrower has stopped using.
   *
   * @param loan the loan
   * @param limit name of the limit
   * @param tokens tokens that are returned with it
   */
  record Return(LoanIdentifier loan, String limit, double tokens) implements LoanMessage {}
}
