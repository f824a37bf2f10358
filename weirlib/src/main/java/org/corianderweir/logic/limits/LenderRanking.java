package org.corianderweir.logic.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Chooses lenders to ask: those of the own availability zone first, then by the surplus that they
 * told last. One that had none, or is silent, is left alone for a while. Not thread-safe.
 */
final class LenderRanking {
  private static final long FIRST_PAUSE_NANOSECONDS = 20_000_000L;
  private static final int LARGEST_DOUBLINGS = 5;
  private static final long SILENT_PAUSE_NANOSECONDS = 300_000_000L;

  private final Map<String, Known> known = new HashMap<>();
  private List<Lender> lenders = List.of();

  private record Known(Allowance surplus, long askAgainNanoseconds, int denials) {}

  void setLenders(List<Lender> changed) {
    lenders = List.copyOf(changed);
    known.keySet().removeIf(name -> changed.stream().noneMatch(l -> l.name().equals(name)));
  }

  /** Returns the lenders that may be asked now, the best first. */
  List<Lender> candidates(long nowNanoseconds, RandomGenerator random) {
    List<Lender> near = new ArrayList<>();
    List<Lender> far = new ArrayList<>();
    int start = lenders.isEmpty() ? 0 : random.nextInt(lenders.size());
    for (int step = 0; step < lenders.size(); step++) {
      Lender lender = lenders.get((start + step) % lenders.size());
      Known state = known.get(lender.name());
      if (state == null || state.askAgainNanoseconds() <= nowNanoseconds) {
        (lender.near() ? near : far).add(lender);
      }
    }
    far.sort((one, other) -> Double.compare(surplusOf(other), surplusOf(one)));
    near.addAll(far);
    return near;
  }

  /** Returns what a lender will probably grant; a lender never heard of counts as the default. */
  Allowance expected(String lender, Allowance unknownDefault) {
    Known state = known.get(lender);
    return state == null || state.denials() > 0 ? unknownDefault : state.surplus();
  }

  /** Notes that a lender was asked, so that it is asked again only after it could answer. */
  void asked(String lender, Allowance expected, long nowNanoseconds) {
    Known before = known.get(lender);
    int denials = before == null ? 0 : before.denials();
    known.put(lender, new Known(expected, nowNanoseconds + SILENT_PAUSE_NANOSECONDS, denials));
  }

  void answered(String lender, boolean granted, Allowance surplus, long nowNanoseconds) {
    Known before = known.get(lender);
    int denials = granted || before == null ? 0 : before.denials() + 1;
    boolean more = granted && !surplus.isEmpty();
    long pause = FIRST_PAUSE_NANOSECONDS << Math.min(denials, LARGEST_DOUBLINGS);
    known.put(lender, new Known(surplus, more ? nowNanoseconds : nowNanoseconds + pause, denials));
  }

  private double surplusOf(Lender lender) {
    Known state = known.get(lender.name());
    return state == null ? Double.MAX_VALUE : state.surplus().rate();
  }
}
