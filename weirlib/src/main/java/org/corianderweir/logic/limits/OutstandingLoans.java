package org.corianderweir.logic.limits;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Loans with their expiry times and the sum of their allowances. Not thread-safe. */
final class OutstandingLoans {
  private record Entry(Allowance allowance, long expiresNanoseconds) {}

  private final Map<LoanIdentifier, Entry> entries = new LinkedHashMap<>();
  private Allowance total = Allowance.NONE;
  private long nextExpiryNanoseconds = Long.MAX_VALUE;

  boolean contains(LoanIdentifier loan) {
    return entries.containsKey(loan);
  }

  void add(LoanIdentifier loan, Allowance allowance, long expiresNanoseconds) {
    entries.put(loan, new Entry(allowance, expiresNanoseconds));
    recomputeTotals();
  }

  /** Extends a loan to a later expiry; returns false if the loan is unknown. */
  boolean extend(LoanIdentifier loan, long expiresNanoseconds) {
    Entry entry = entries.get(loan);
    if (entry == null) {
      return false;
    }
    long later = Math.max(entry.expiresNanoseconds(), expiresNanoseconds);
    entries.put(loan, new Entry(entry.allowance(), later));
    recomputeTotals();
    return true;
  }

  /** Returns the expiry time of a loan, or a time before any other if the loan is unknown. */
  long expiryOf(LoanIdentifier loan) {
    Entry entry = entries.get(loan);
    return entry == null ? Long.MIN_VALUE + 1 : entry.expiresNanoseconds();
  }

  Allowance allowanceOf(LoanIdentifier loan) {
    Entry entry = entries.get(loan);
    return entry == null ? Allowance.NONE : entry.allowance();
  }

  Optional<Allowance> remove(LoanIdentifier loan) {
    Entry removed = entries.remove(loan);
    if (removed == null) {
      return Optional.empty();
    }
    recomputeTotals();
    return Optional.of(removed.allowance());
  }

  /** Removes the loans that have expired. */
  void expire(long nowNanoseconds) {
    if (nextExpiryNanoseconds > nowNanoseconds) {
      return;
    }
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      if (iterator.next().expiresNanoseconds() <= nowNanoseconds) {
        iterator.remove();
      }
    }
    recomputeTotals();
  }

  Allowance total() {
    return total;
  }

  /** Returns the total capacity of the loans that expire after the given time. */
  double capacityExpiringAfter(long nanoseconds) {
    double capacity = 0;
    for (Entry entry : entries.values()) {
      if (entry.expiresNanoseconds() > nanoseconds) {
        capacity += entry.allowance().capacity();
      }
    }
    return capacity;
  }

  long nextExpiryNanoseconds() {
    return nextExpiryNanoseconds;
  }

  /** Recomputes the sum from all loans, so that rounding errors do not accumulate. */
  private void recomputeTotals() {
    double rate = 0;
    double capacity = 0;
    long next = Long.MAX_VALUE;
    for (Entry entry : entries.values()) {
      rate += entry.allowance().rate();
      capacity += entry.allowance().capacity();
      next = Math.min(next, entry.expiresNanoseconds());
    }
    total = new Allowance(rate, capacity);
    nextExpiryNanoseconds = next;
  }
}
