package org.corianderweir.logic.limits;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Loans that end at a time, with their sum. Not thread-safe. */
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

  /** Moves the end of a loan to a later time; returns false if the loan is not known. */
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

  /** Returns when a loan ends, or the smallest time if it is not known. */
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

  /** Drops the loans that have ended. */
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

  /** Returns the capacity of the loans that end after a time. */
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

  /** Adds up anew, so that rounding never accumulates. */
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
