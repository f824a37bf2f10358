package org.corianderweir.logic.limits;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** The borrower's side of one limit: requests loans, renews them and returns them. */
final class LimitBorrower {
  private static final int MAXIMUM_REQUESTS_PER_TICK = 16;
  private static final int RENEWAL_ATTEMPTS_PER_LIFETIME = 4;
  private static final long MINIMUM_HOLD_NANOSECONDS = 200_000_000L;
  private static final long RESPONSE_TIMEOUT_NANOSECONDS = 400_000_000L;
  private static final double MINIMUM_SHORTAGE_TOKENS_PER_SECOND = 1e-3;
  private static final double MINIMUM_SLICE_RATE_FOR_RATE_LOANS_TOKENS_PER_SECOND = 20;
  private static final double MINIMUM_SHORTAGE_TOKENS = 1e-6;

  private final String name;
  private final LendableSlice slice;
  private Allowance typicalSlice = Allowance.NONE;
  private final long lifetimeNanoseconds;
  private final LenderRanking ranking = new LenderRanking();
  private final Map<LoanIdentifier, PendingRequest> pending = new LinkedHashMap<>();
  private final Map<LoanIdentifier, Loan> loans = new LinkedHashMap<>();

  private record PendingRequest(String lender, Allowance expected, long requestedNanoseconds) {}

  private record Loan(
      String lender,
      Allowance allowance,
      long borrowedNanoseconds,
      long expiresNanoseconds,
      long renewalAttempt,
      long renewalAttemptedNanoseconds) {}

  LimitBorrower(String name, LendableSlice slice, long lifetimeNanoseconds) {
    this.name = name;
    this.slice = slice;
    this.lifetimeNanoseconds = lifetimeNanoseconds;
  }

  void setTypicalSlice(Allowance changed) {
    typicalSlice = changed;
  }

  LendableSlice slice() {
    return slice;
  }

  LenderRanking ranking() {
    return ranking;
  }

  void tick(
      Supplier<LoanIdentifier> identifiers,
      long nowNanoseconds,
      RandomGenerator random,
      List<AddressedMessage<LoanMessage>> messages) {
    removeExpired(nowNanoseconds);
    LendableSlice.DemandBalance balance = slice.measureDemandBalance(nowNanoseconds);
    if (balance.shortage().isEmpty() && loans.isEmpty()) {
      return;
    }
    returnExcessLoans(balance, nowNanoseconds, messages);
    renewLoans(nowNanoseconds, messages);
    requestLoans(balance, identifiers, nowNanoseconds, random, messages);
  }

  List<AddressedMessage<LoanMessage>> receiveGrant(
      String sender, LoanMessage.Grant grant, long nowNanoseconds) {
    PendingRequest request = pending.get(grant.loan());
    boolean empty = grant.amount().allowance().isEmpty();
    if (request == null || !request.lender().equals(sender)) {
      boolean unused = !empty && !loans.containsKey(grant.loan());
      return unused
          ? List.of(returnMessage(sender, grant.loan(), grant.amount().tokens()))
          : List.of();
    }
    pending.remove(grant.loan());
    ranking.recordResponse(sender, !empty, grant.surplus(), nowNanoseconds);
    if (empty) {
      return List.of();
    }
    long expires = request.requestedNanoseconds() + lifetimeNanoseconds;
    if (!slice.borrow(grant.loan(), grant.amount(), expires, nowNanoseconds)) {
      return List.of(returnMessage(sender, grant.loan(), grant.amount().tokens()));
    }
    loans.put(
        grant.loan(),
        new Loan(
            sender,
            grant.amount().allowance(),
            nowNanoseconds,
            expires,
            0,
            request.requestedNanoseconds()));
    return List.of();
  }

  void receiveRenewalConfirmation(LoanMessage.RenewalConfirmation renewed, long nowNanoseconds) {
    Loan loan = loans.get(renewed.loan());
    if (loan == null || loan.renewalAttempt() != renewed.attempt()) {
      return;
    }
    long expires = loan.renewalAttemptedNanoseconds() + lifetimeNanoseconds;
    if (slice.extendBorrowed(renewed.loan(), expires, nowNanoseconds)) {
      loans.put(
          renewed.loan(),
          new Loan(
              loan.lender(),
              loan.allowance(),
              loan.borrowedNanoseconds(),
              expires,
              loan.renewalAttempt(),
              loan.renewalAttemptedNanoseconds()));
    }
  }

  void returnAllLoans(long nowNanoseconds, List<AddressedMessage<LoanMessage>> messages) {
    for (LoanIdentifier loan : List.copyOf(loans.keySet())) {
      returnLoan(loan, nowNanoseconds, messages);
    }
  }

  private void removeExpired(long nowNanoseconds) {
    loans.values().removeIf(loan -> loan.expiresNanoseconds() <= nowNanoseconds);
    pending
        .values()
        .removeIf(
            request -> request.requestedNanoseconds() + lifetimeNanoseconds <= nowNanoseconds);
  }

  /** Returns loans that are no longer needed, the oldest first. */
  private void returnExcessLoans(
      LendableSlice.DemandBalance balance,
      long nowNanoseconds,
      List<AddressedMessage<LoanMessage>> messages) {
    double excessRate = balance.excess().rate();
    double excessCapacity = balance.excess().capacity();
    for (Map.Entry<LoanIdentifier, Loan> entry : List.copyOf(loans.entrySet())) {
      Loan loan = entry.getValue();
      boolean recentlyBorrowed =
          loan.allowance().rate() > 0
              && nowNanoseconds - loan.borrowedNanoseconds() < MINIMUM_HOLD_NANOSECONDS;
      boolean unneeded =
          loan.allowance().rate() <= excessRate && loan.allowance().capacity() <= excessCapacity;
      if (!recentlyBorrowed && unneeded && returnLoan(entry.getKey(), nowNanoseconds, messages)) {
        excessRate -= loan.allowance().rate();
        excessCapacity -= loan.allowance().capacity();
      }
    }
  }

  private boolean returnLoan(
      LoanIdentifier identifier,
      long nowNanoseconds,
      List<AddressedMessage<LoanMessage>> messages) {
    Loan loan = loans.get(identifier);
    Optional<Double> tokens = slice.returnBorrowed(identifier, nowNanoseconds);
    if (loan == null || tokens.isEmpty()) {
      return false;
    }
    loans.remove(identifier);
    messages.add(returnMessage(loan.lender(), identifier, tokens.get()));
    return true;
  }

  private void renewLoans(long nowNanoseconds, List<AddressedMessage<LoanMessage>> messages) {
    for (Map.Entry<LoanIdentifier, Loan> entry : loans.entrySet()) {
      Loan loan = entry.getValue();
      long renewalInterval = lifetimeNanoseconds / RENEWAL_ATTEMPTS_PER_LIFETIME;
      boolean pastHalfLifetime =
          loan.expiresNanoseconds() - nowNanoseconds < lifetimeNanoseconds / 2;
      if (pastHalfLifetime
          && nowNanoseconds - loan.renewalAttemptedNanoseconds() >= renewalInterval) {
        long attempt = loan.renewalAttempt() + 1;
        entry.setValue(
            new Loan(
                loan.lender(),
                loan.allowance(),
                loan.borrowedNanoseconds(),
                loan.expiresNanoseconds(),
                attempt,
                nowNanoseconds));
        messages.add(
            new AddressedMessage<>(
                loan.lender(),
                new LoanMessage.RenewalRequest(
                    entry.getKey(), name, attempt, lifetimeNanoseconds)));
      }
    }
  }

  /** Requests loans from a few lenders for the shortage that pending requests do not cover. */
  private void requestLoans(
      LendableSlice.DemandBalance balance,
      Supplier<LoanIdentifier> identifiers,
      long nowNanoseconds,
      RandomGenerator random,
      List<AddressedMessage<LoanMessage>> messages) {
    Allowance shortage = borrowableShortage(balance.shortage());
    for (PendingRequest request : pending.values()) {
      if (nowNanoseconds - request.requestedNanoseconds() < RESPONSE_TIMEOUT_NANOSECONDS) {
        shortage = shortage.minus(request.expected());
      }
    }
    if (isNegligible(shortage)) {
      return;
    }
    int requests = 0;
    for (Lender lender : ranking.candidates(nowNanoseconds, random)) {
      if (requests == MAXIMUM_REQUESTS_PER_TICK || isNegligible(shortage)) {
        return;
      }
      Allowance expected = ranking.expectedGrant(lender.name(), typicalSlice).limitedTo(shortage);
      LoanIdentifier loan = identifiers.get();
      pending.put(loan, new PendingRequest(lender.name(), expected, nowNanoseconds));
      ranking.recordRequest(lender.name(), expected, nowNanoseconds);
      messages.add(
          new AddressedMessage<>(
              lender.name(), new LoanMessage.Request(loan, name, shortage, lifetimeNanoseconds)));
      shortage = shortage.minus(expected);
      requests++;
    }
  }

  /**
   * For small limits, only tokens are borrowed and no rate: their slices hold a few tokens, and a
   * borrowed rate is of no use until it has yielded a whole token.
   */
  private Allowance borrowableShortage(Allowance shortage) {
    return typicalSlice.rate() < MINIMUM_SLICE_RATE_FOR_RATE_LOANS_TOKENS_PER_SECOND
        ? new Allowance(0, shortage.capacity())
        : shortage;
  }

  private static boolean isNegligible(Allowance shortage) {
    return shortage.rate() < MINIMUM_SHORTAGE_TOKENS_PER_SECOND
        && shortage.capacity() < MINIMUM_SHORTAGE_TOKENS;
  }

  private AddressedMessage<LoanMessage> returnMessage(
      String lender, LoanIdentifier loan, double tokens) {
    return new AddressedMessage<>(lender, new LoanMessage.Return(loan, name, tokens));
  }
}
