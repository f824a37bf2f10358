package org.corianderweir.logic.limits;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** The borrower's side of one limit: what was asked for, what is borrowed, when to renew. */
final class BorrowedLimit {
  private static final int REQUESTS_PER_TICK = 16;
  private static final int RENEWALS_PER_LIFETIME = 4;
  private static final long SHORTEST_USE_NANOSECONDS = 200_000_000L;
  private static final long ANSWER_EXPECTED_NANOSECONDS = 400_000_000L;
  private static final double SMALLEST_RATE = 1e-3;
  private static final double RATE_LOAN_SLICE_PER_SECOND = 20;
  private static final double SMALLEST_CAPACITY = 1e-6;

  private final String name;
  private final LendableSlice slice;
  private Allowance typicalSlice = Allowance.NONE;
  private final long lifetimeNanoseconds;
  private final LenderRanking ranking = new LenderRanking();
  private final Map<LoanIdentifier, Asked> pending = new LinkedHashMap<>();
  private final Map<LoanIdentifier, Loan> loans = new LinkedHashMap<>();

  private record Asked(String lender, Allowance expected, long askedNanoseconds) {}

  private record Loan(
      String lender,
      Allowance allowance,
      long borrowedNanoseconds,
      long expiresNanoseconds,
      long attempt,
      long attemptedNanoseconds) {}

  BorrowedLimit(String name, LendableSlice slice, long lifetimeNanoseconds) {
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
    forgetEnded(nowNanoseconds);
    LendableSlice.Position position = slice.position(nowNanoseconds);
    if (position.missing().isEmpty() && loans.isEmpty()) {
      return;
    }
    giveBackSurplus(position, nowNanoseconds, messages);
    renew(nowNanoseconds, messages);
    ask(position, identifiers, nowNanoseconds, random, messages);
  }

  List<AddressedMessage<LoanMessage>> granted(
      String sender, LoanMessage.Grant grant, long nowNanoseconds) {
    Asked asked = pending.get(grant.loan());
    boolean empty = grant.parcel().allowance().isEmpty();
    if (asked == null || !asked.lender().equals(sender)) {
      boolean unused = !empty && !loans.containsKey(grant.loan());
      return unused ? List.of(returned(sender, grant.loan(), grant.parcel().tokens())) : List.of();
    }
    pending.remove(grant.loan());
    ranking.answered(sender, !empty, grant.surplus(), nowNanoseconds);
    if (empty) {
      return List.of();
    }
    long expires = asked.askedNanoseconds() + lifetimeNanoseconds;
    if (!slice.borrow(grant.loan(), grant.parcel(), expires, nowNanoseconds)) {
      return List.of(returned(sender, grant.loan(), grant.parcel().tokens()));
    }
    loans.put(
        grant.loan(),
        new Loan(
            sender,
            grant.parcel().allowance(),
            nowNanoseconds,
            expires,
            0,
            asked.askedNanoseconds()));
    return List.of();
  }

  void renewed(LoanMessage.Renewed renewed, long nowNanoseconds) {
    Loan loan = loans.get(renewed.loan());
    if (loan == null || loan.attempt() != renewed.attempt()) {
      return;
    }
    long expires = loan.attemptedNanoseconds() + lifetimeNanoseconds;
    if (slice.extendBorrowed(renewed.loan(), expires, nowNanoseconds)) {
      loans.put(
          renewed.loan(),
          new Loan(
              loan.lender(),
              loan.allowance(),
              loan.borrowedNanoseconds(),
              expires,
              loan.attempt(),
              loan.attemptedNanoseconds()));
    }
  }

  void giveAllBack(long nowNanoseconds, List<AddressedMessage<LoanMessage>> messages) {
    for (LoanIdentifier loan : List.copyOf(loans.keySet())) {
      giveBack(loan, nowNanoseconds, messages);
    }
  }

  private void forgetEnded(long nowNanoseconds) {
    loans.values().removeIf(loan -> loan.expiresNanoseconds() <= nowNanoseconds);
    pending
        .values()
        .removeIf(asked -> asked.askedNanoseconds() + lifetimeNanoseconds <= nowNanoseconds);
  }

  /** Gives back loans that aren't needed any more, those from far away and old first. */
  private void giveBackSurplus(
      LendableSlice.Position position,
      long nowNanoseconds,
      List<AddressedMessage<LoanMessage>> messages) {
    double spareRate = position.spare().rate();
    double spareCapacity = position.spare().capacity();
    for (Map.Entry<LoanIdentifier, Loan> entry : List.copyOf(loans.entrySet())) {
      Loan loan = entry.getValue();
      boolean used =
          loan.allowance().rate() > 0
              && nowNanoseconds - loan.borrowedNanoseconds() < SHORTEST_USE_NANOSECONDS;
      boolean spare =
          loan.allowance().rate() <= spareRate && loan.allowance().capacity() <= spareCapacity;
      if (!used && spare && giveBack(entry.getKey(), nowNanoseconds, messages)) {
        spareRate -= loan.allowance().rate();
        spareCapacity -= loan.allowance().capacity();
      }
    }
  }

  private boolean giveBack(
      LoanIdentifier identifier,
      long nowNanoseconds,
      List<AddressedMessage<LoanMessage>> messages) {
    Loan loan = loans.get(identifier);
    Optional<Double> tokens = slice.giveBack(identifier, nowNanoseconds);
    if (loan == null || tokens.isEmpty()) {
      return false;
    }
    loans.remove(identifier);
    messages.add(returned(loan.lender(), identifier, tokens.get()));
    return true;
  }

  private void renew(long nowNanoseconds, List<AddressedMessage<LoanMessage>> messages) {
    for (Map.Entry<LoanIdentifier, Loan> entry : loans.entrySet()) {
      Loan loan = entry.getValue();
      long pause = lifetimeNanoseconds / RENEWALS_PER_LIFETIME;
      boolean halfGone = loan.expiresNanoseconds() - nowNanoseconds < lifetimeNanoseconds / 2;
      if (halfGone && nowNanoseconds - loan.attemptedNanoseconds() >= pause) {
        long attempt = loan.attempt() + 1;
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
                new LoanMessage.Renewal(entry.getKey(), name, attempt, lifetimeNanoseconds)));
      }
    }
  }

  /** Asks a few lenders for what the demand needs beyond what is held and already asked for. */
  private void ask(
      LendableSlice.Position position,
      Supplier<LoanIdentifier> identifiers,
      long nowNanoseconds,
      RandomGenerator random,
      List<AddressedMessage<LoanMessage>> messages) {
    Allowance missing = worthAsking(position.missing());
    for (Asked asked : pending.values()) {
      if (nowNanoseconds - asked.askedNanoseconds() < ANSWER_EXPECTED_NANOSECONDS) {
        missing = missing.minus(asked.expected());
      }
    }
    if (isSmall(missing)) {
      return;
    }
    int requests = 0;
    for (Lender lender : ranking.candidates(nowNanoseconds, random)) {
      if (requests == REQUESTS_PER_TICK || isSmall(missing)) {
        return;
      }
      Allowance expected = ranking.expected(lender.name(), typicalSlice).limitedTo(missing);
      LoanIdentifier loan = identifiers.get();
      pending.put(loan, new Asked(lender.name(), expected, nowNanoseconds));
      ranking.asked(lender.name(), expected, nowNanoseconds);
      messages.add(
          new AddressedMessage<>(
              lender.name(), new LoanMessage.Request(loan, name, missing, lifetimeNanoseconds)));
      missing = missing.minus(expected);
      requests++;
    }
  }

  /**
   * Slices of small limits hold a few tokens: rate that is lent would be of no use before it makes
   * a whole token, so only tokens move.
   */
  private Allowance worthAsking(Allowance missing) {
    return typicalSlice.rate() < RATE_LOAN_SLICE_PER_SECOND
        ? new Allowance(0, missing.capacity())
        : missing;
  }

  private static boolean isSmall(Allowance missing) {
    return missing.rate() < SMALLEST_RATE && missing.capacity() < SMALLEST_CAPACITY;
  }

  private AddressedMessage<LoanMessage> returned(
      String lender, LoanIdentifier loan, double tokens) {
    return new AddressedMessage<>(lender, new LoanMessage.Return(loan, name, tokens));
  }
}
