package org.corianderweir.logic.limits;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Loans that end at a time, with their sum. Not thread-safe. */
final class LoanBook {
  private record Entry(Allowance allowance, long endsNanoseconds) {}

  private final Map<LoanIdentifier, Entry> entries = new LinkedHashMap<>();
  private Allowance sum = Allowance.NONE;
  private long nextEndNanoseconds = Long.MAX_VALUE;

  boolean contains(LoanIdentifier loan) {
    return entries.containsKey(loan);
  }

  void add(LoanIdentifier loan, Allowance allowance, long endsNanoseconds) {
    entries.put(loan, new Entry(allowance, endsNanoseconds));
    recompute();
  }

  /** Moves the end of a loan to a later time; returns false if the loan is not known. */
  boolean extend(LoanIdentifier loan, long endsNanoseconds) {
    Entry entry = entries.get(loan);
    if (entry == null) {
      return false;
    }
    long later = Math.max(entry.endsNanoseconds(), endsNanoseconds);
    entries.put(loan, new Entry(entry.allowance(), later));
    recompute();
    return true;
  }

  /** Returns when a loan ends, or the smallest time if it is not known. */
  long endOf(LoanIdentifier loan) {
    Entry entry = entries.get(loan);
    return entry == null ? Long.MIN_VALUE + 1 : entry.endsNanoseconds();
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
    recompute();
    return Optional.of(removed.allowance());
  }

  /** Drops the loans that have ended. */
  void expire(long nowNanoseconds) {
    if (nextEndNanoseconds > nowNanoseconds) {
      return;
    }
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      if (iterator.next().endsNanoseconds() <= nowNanoseconds) {
        iterator.remove();
      }
    }
    recompute();
  }

  Allowance sum() {
    return sum;
  }

  /** Returns the capacity of the loans that end after a time. */
  double capacityUntil(long nanoseconds) {
    double capacity = 0;
    for (Entry entry : entries.values()) {
      if (entry.endsNanoseconds() > nanoseconds) {
        capacity += entry.allowance().capacity();
      }
    }
    return capacity;
  }

  long nextEndNanoseconds() {
    return nextEndNanoseconds;
  }

  /** Adds up anew, so that rounding never accumulates. */
  private void recompute() {
    double rate = 0;
    double capacity = 0;
    long next = Long.MAX_VALUE;
    for (Entry entry : entries.values()) {
      rate += entry.allowance().rate();
      capacity += entry.allowance().capacity();
      next = Math.min(next, entry.endsNanoseconds());
    }
    sum = new Allowance(rate, capacity);
    nextEndNanoseconds = next;
  }
}
