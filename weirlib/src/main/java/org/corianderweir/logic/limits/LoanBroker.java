package org.corianderweir.logic.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Lends, borrows, renews and gives back parts of all limits of one entry instance. Used by the
 * control thread alone; the slices themselves are shared with traffic threads.
 *
 * <p>Safety: the lender deducts before it sends. A loan ends on the borrower's clock counted from
 * the moment it asked, and on the lender's clock not before that. A borrower takes up each grant
 * once. Lost messages lose allowance for the lifetime of the loan, never more.
 */
public final class LoanBroker {
  private final String self;
  private final long incarnation;
  private final Map<String, LimitBorrower> limits = new TreeMap<>();
  private long sequence;

  /** Creates a broker without limits. */
  public LoanBroker(String self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Puts a limit under the broker's care. A limit whose slice stays the same keeps its loans.
   *
   * @param limit unique name
   * @param slice what this instance may spend of it
   * @param typicalSlice size of the slice of a slot, taken as the guess of a lender's surplus
   * @param loanLifetimeNanoseconds lifetime of loans
   */
  public void define(
      String limit, LendableSlice slice, Allowance typicalSlice, long loanLifetimeNanoseconds) {
    LimitBorrower entry = limits.get(limit);
    if (entry == null || entry.slice() != slice) {
      entry = new LimitBorrower(limit, slice, loanLifetimeNanoseconds);
      limits.put(limit, entry);
    }
    entry.setTypicalSlice(typicalSlice);
  }

  /** Drops a limit. */
  public void remove(String limit) {
    limits.remove(limit);
  }

  /** Sets who holds slices of a limit, without this instance. */
  public void setLenders(String limit, List<Lender> lenders) {
    LimitBorrower entry = limits.get(limit);
    if (entry != null) {
      entry.ranking().setLenders(lenders);
    }
  }

  /**
   * Looks after all limits: to be called some ten times a second and after a request had to wait.
   */
  public List<AddressedMessage<LoanMessage>> tick(long nowNanoseconds, RandomGenerator random) {
    List<AddressedMessage<LoanMessage>> messages = new ArrayList<>();
    for (LimitBorrower limit : limits.values()) {
      limit.tick(this::nextLoan, nowNanoseconds, random, messages);
    }
    return messages;
  }

  /** Gives all loans back, for a planned stop. */
  public List<AddressedMessage<LoanMessage>> returnAllLoans(long nowNanoseconds) {
    List<AddressedMessage<LoanMessage>> messages = new ArrayList<>();
    limits.values().forEach(limit -> limit.returnAllLoans(nowNanoseconds, messages));
    return messages;
  }

  /** Handles a message of another instance. */
  public List<AddressedMessage<LoanMessage>> receive(
      String sender, LoanMessage message, long nowNanoseconds) {
    LimitBorrower limit = limits.get(message.limit());
    if (limit == null) {
      return List.of();
    }
    return switch (message) {
      case LoanMessage.Request request -> reply(sender, lend(limit, request, nowNanoseconds));
      case LoanMessage.RenewalRequest renewal -> renew(limit, sender, renewal, nowNanoseconds);
      case LoanMessage.Return returned -> {
        limit.slice().acceptReturn(returned.loan(), returned.tokens(), nowNanoseconds);
        yield List.of();
      }
      case LoanMessage.Grant grant -> {
        boolean requestedHere = isOwn(grant.loan());
        yield requestedHere ? limit.receiveGrant(sender, grant, nowNanoseconds) : List.of();
      }
      case LoanMessage.RenewalConfirmation renewed -> {
        limit.receiveRenewalConfirmation(renewed, nowNanoseconds);
        yield List.of();
      }
    };
  }

  private LoanMessage lend(LimitBorrower limit, LoanMessage.Request request, long nowNanoseconds) {
    LendableSlice slice = limit.slice();
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
      LimitBorrower limit, String sender, LoanMessage.RenewalRequest renewal, long nowNanoseconds) {
    boolean extended =
        limit.slice().extendLent(renewal.loan(), renewal.lifetimeNanoseconds(), nowNanoseconds);
    if (!extended) {
      return List.of();
    }
    return reply(
        sender,
        new LoanMessage.RenewalConfirmation(renewal.loan(), renewal.limit(), renewal.attempt()));
  }

  private static List<AddressedMessage<LoanMessage>> reply(String target, LoanMessage message) {
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
