package org.corianderweir.logic.limits;

/**
 * What lenders and borrowers of a limit tell each other. Any message may be lost, delayed, repeated
 * or overtaken.
 */
public sealed interface LoanMessage {
  /** Returns the loan that the message is about. */
  LoanIdentifier loan();

  /** Returns the name of the limit, unique over all kinds. */
  String limit();

  /**
   * Asks for a loan.
   *
   * @param loan identifier that the borrower chose
   * @param limit name of the limit
   * @param maximum largest size that is of use
   * @param lifetimeNanoseconds lifetime, counted by the borrower from the moment it asked
   */
  record Request(LoanIdentifier loan, String limit, Allowance maximum, long lifetimeNanoseconds)
      implements LoanMessage {}

  /**
   * Answers a request.
   *
   * @param loan the request
   * @param limit name of the limit
   * @param amount what is lent; empty if there is nothing to lend
   * @param surplus what the lender could lend besides, now
   */
  record Grant(
      LoanIdentifier loan, String limit, LendableSlice.LoanAmount amount, Allowance surplus)
      implements LoanMessage {}

  /**
   * Asks to lengthen a loan.
   *
   * @param loan the loan
   * @param limit name of the limit
   * @param attempt number of the renewal, chosen by the borrower
   * @param lifetimeNanoseconds lifetime, counted by the borrower from the moment it asked
   */
  record RenewalRequest(LoanIdentifier loan, String limit, long attempt, long lifetimeNanoseconds)
      implements LoanMessage {}

  /** Says that a loan was lengthened as asked. */
  record RenewalConfirmation(LoanIdentifier loan, String limit, long attempt)
      implements LoanMessage {}

  /**
   * Gives a loan back; the borrower has stopped using it.
   *
   * @param loan the loan
   * @param limit name of the limit
   * @param tokens tokens that go back with it
   */
  record Return(LoanIdentifier loan, String limit, double tokens) implements LoanMessage {}
}
