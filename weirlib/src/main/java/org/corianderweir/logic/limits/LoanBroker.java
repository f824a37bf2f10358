package org.corianderweir.logic.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Lends, borrows, renews and returns parts of all limits of one entry instance. Only the control
 * thread uses it; the slices themselves are shared with the threads that serve requests.
 *
 * <p>Loans never raise the sum of all slices: the lender deducts a loan before it sends the grant,
 * the borrower accepts each grant once, and the loan ends at the lender no earlier than at the
 * borrower, whose clock counts its lifetime from the time it sent the request. A lost message
 * leaves allowance unused for at most the lifetime of the loan.
 */
public final class LoanBroker {
  private final String self;
  private final long incarnation;
  private final Map<String, LimitBorrower> borrowers = new TreeMap<>();
  private long sequence;

  /** Creates a broker without limits. */
  public LoanBroker(String self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Adds or updates a limit. Its loans are kept if the slice object stays the same.
   *
   * @param limit unique name
   * @param slice the part of the limit that this instance may spend
   * @param typicalSlice size of the slice of a slot, assumed as the surplus of a lender whose
   *     surplus is unknown
   * @param loanLifetimeNanoseconds lifetime of loans
   */
  public void define(
      String limit, LendableSlice slice, Allowance typicalSlice, long loanLifetimeNanoseconds) {
    LimitBorrower borrower = borrowers.get(limit);
    if (borrower == null || borrower.slice() != slice) {
      borrower = new LimitBorrower(limit, slice, loanLifetimeNanoseconds);
      borrowers.put(limit, borrower);
    }
    borrower.setTypicalSlice(typicalSlice);
  }

  /** Removes a limit. */
  public void remove(String limit) {
    borrowers.remove(limit);
  }

  /** Sets the other instances that hold slices of a limit. */
  public void setLenders(String limit, List<Lender> lenders) {
    LimitBorrower borrower = borrowers.get(limit);
    if (borrower != null) {
      borrower.ranking().setLenders(lenders);
    }
  }

  /**
   * Requests, renews and returns loans of all limits as the demand requires. Call it about ten
   * times a second and after a request had to wait.
   */
  public List<AddressedMessage<LoanMessage>> tick(long nowNanoseconds, RandomGenerator random) {
    List<AddressedMessage<LoanMessage>> messages = new ArrayList<>();
    for (LimitBorrower borrower : borrowers.values()) {
      borrower.tick(this::nextLoan, nowNanoseconds, random, messages);
    }
    return messages;
  }

  /** Returns all borrowed loans to their lenders, for a planned stop. */
  public List<AddressedMessage<LoanMessage>> returnAllLoans(long nowNanoseconds) {
    List<AddressedMessage<LoanMessage>> messages = new ArrayList<>();
    borrowers.values().forEach(borrower -> borrower.returnAllLoans(nowNanoseconds, messages));
    return messages;
  }

  /** Handles a message from another instance and returns the messages to send in response. */
  public List<AddressedMessage<LoanMessage>> receive(
      String sender, LoanMessage message, long nowNanoseconds) {
    LimitBorrower borrower = borrowers.get(message.limit());
    if (borrower == null) {
      return List.of();
    }
    return switch (message) {
      case LoanMessage.Request request -> response(sender, lend(borrower, request, nowNanoseconds));
      case LoanMessage.RenewalRequest renewal -> renew(borrower, sender, renewal, nowNanoseconds);
      case LoanMessage.Return returned -> {
        borrower.slice().acceptReturn(returned.loan(), returned.tokens(), nowNanoseconds);
        yield List.of();
      }
      case LoanMessage.Grant grant -> {
        boolean requestedHere = isOwn(grant.loan());
        yield requestedHere ? borrower.receiveGrant(sender, grant, nowNanoseconds) : List.of();
      }
      case LoanMessage.RenewalConfirmation renewed -> {
        borrower.receiveRenewalConfirmation(renewed, nowNanoseconds);
        yield List.of();
      }
    };
  }

  private LoanMessage lend(
      LimitBorrower borrower, LoanMessage.Request request, long nowNanoseconds) {
    LendableSlice slice = borrower.slice();
    Optional<LendableSlice.LoanAmount> amount =
        slice.lend(
            request.loan(), request.maximum(), request.lifetimeNanoseconds(), nowNanoseconds);
    return new LoanMessage.Grant(
        request.loan(),
        request.limit(),
        amount.orElse(new LendableSlice.LoanAmount(Allowance.NONE, 0)),
        slice.surplus(nowNanoseconds));
  }

  private static List<AddressedMessage<LoanMessage>> renew(
      LimitBorrower borrower,
      String sender,
      LoanMessage.RenewalRequest renewal,
      long nowNanoseconds) {
    boolean extended =
        borrower.slice().extendLent(renewal.loan(), renewal.lifetimeNanoseconds(), nowNanoseconds);
    if (!extended) {
      return List.of();
    }
    return response(
        sender,
        new LoanMessage.RenewalConfirmation(renewal.loan(), renewal.limit(), renewal.attempt()));
  }

  private static List<AddressedMessage<LoanMessage>> response(String target, LoanMessage message) {
    return List.of(new AddressedMessage<>(target, message));
  }

  private boolean isOwn(LoanIdentifier loan) {
    return loan.borrower().equals(self) && loan.incarnation() == incarnation;
  }

  private LoanIdentifier nextLoan() {
    sequence++;
    return new LoanIdentifier(self, incarnation, sequence);
  }
}
