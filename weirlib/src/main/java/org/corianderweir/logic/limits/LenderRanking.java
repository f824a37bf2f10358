package org.corianderweir.logic.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Ranks the lenders to request loans from: those of the own availability zone first, then by the
 * surplus that they last reported. A lender that had no surplus or did not respond is skipped for a
 * while. Not thread-safe.
 */
final class LenderRanking {
  private static final long INITIAL_BACKOFF_NANOSECONDS = 20_000_000L;
  private static final int MAXIMUM_BACKOFF_DOUBLINGS = 5;
  private static final long RESPONSE_TIMEOUT_NANOSECONDS = 300_000_000L;

  private final Map<String, LenderState> states = new HashMap<>();
  private List<Lender> lenders = List.of();

  private record LenderState(Allowance surplus, long retryNanoseconds, int consecutiveDenials) {}

  void setLenders(List<Lender> changed) {
    lenders = List.copyOf(changed);
    states
        .keySet()
        .removeIf(name -> changed.stream().noneMatch(lender -> lender.name().equals(name)));
  }

  /** Returns the lenders that may be sent a request now, in order of preference. */
  List<Lender> candidates(long nowNanoseconds, RandomGenerator random) {
    List<Lender> sameZone = new ArrayList<>();
    List<Lender> otherZones = new ArrayList<>();
    int offset = lenders.isEmpty() ? 0 : random.nextInt(lenders.size());
    for (int step = 0; step < lenders.size(); step++) {
      Lender lender = lenders.get((offset + step) % lenders.size());
      LenderState state = states.get(lender.name());
      if (state == null || state.retryNanoseconds() <= nowNanoseconds) {
        (lender.sameZone() ? sameZone : otherZones).add(lender);
      }
    }
    otherZones.sort((one, other) -> Double.compare(surplusOf(other), surplusOf(one)));
    sameZone.addAll(otherZones);
    return sameZone;
  }

  /**
   * Returns the allowance that a lender is expected to grant; the default if its surplus is unknown
   * or it denied the last request.
   */
  Allowance expectedGrant(String lender, Allowance unknownDefault) {
    LenderState state = states.get(lender);
    return state == null || state.consecutiveDenials() > 0 ? unknownDefault : state.surplus();
  }

  /** Records a request to a lender, so that it gets no other request before it could respond. */
  void recordRequest(String lender, Allowance expected, long nowNanoseconds) {
    LenderState before = states.get(lender);
    int denials = before == null ? 0 : before.consecutiveDenials();
    states.put(
        lender, new LenderState(expected, nowNanoseconds + RESPONSE_TIMEOUT_NANOSECONDS, denials));
  }

  void recordResponse(String lender, boolean granted, Allowance surplus, long nowNanoseconds) {
    LenderState before = states.get(lender);
    int denials = granted || before == null ? 0 : before.consecutiveDenials() + 1;
    boolean more = granted && !surplus.isEmpty();
    long backoff = INITIAL_BACKOFF_NANOSECONDS << Math.min(denials, MAXIMUM_BACKOFF_DOUBLINGS);
    states.put(
        lender,
        new LenderState(surplus, more ? nowNanoseconds : nowNanoseconds + backoff, denials));
  }

  private double surplusOf(Lender lender) {
    LenderState state = states.get(lender.name());
    return state == null ? Double.MAX_VALUE : state.surplus().rate();
  }
}
