package org.corianderweir.logic.limits.slots;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one instance has promised and voted in its cell, and the votes that it collects. Not
 * thread-safe.
 */
final class SilenceVotes {
  private final long takeoverNanoseconds;
  private final Map<SlotHolder, Long> promisedNanoseconds = new HashMap<>();
  private final Set<SlotHolder> condemned = new HashSet<>();
  private final Map<SlotHolder, Set<SlotHolder>> collected = new HashMap<>();
  private long collectedVersion;

  SilenceVotes(long takeoverNanoseconds) {
    this.takeoverNanoseconds = takeoverNanoseconds;
  }

  /** Promises a holder not to vote against it; returns false if it was condemned before. */
  boolean promise(SlotHolder holder, long nowNanoseconds) {
    if (condemned.contains(holder)) {
      return false;
    }
    promisedNanoseconds.put(holder, nowNanoseconds);
    return true;
  }

  /** Returns whether no promise to a holder binds and enough time has passed since joining. */
  boolean isSilent(SlotHolder holder, long joinedNanoseconds, long nowNanoseconds) {
    long latest =
        Math.max(joinedNanoseconds, promisedNanoseconds.getOrDefault(holder, Long.MIN_VALUE));
    return nowNanoseconds - latest >= takeoverNanoseconds;
  }

  void condemn(SlotHolder holder) {
    condemned.add(holder);
  }

  List<SlotHolder> condemned() {
    return List.copyOf(condemned);
  }

  /** Counts a vote; returns whether the voters now have a majority of the slots. */
  boolean collect(SlotHolder silent, SlotHolder voter, CellView view) {
    if (collectedVersion != view.version()) {
      collected.clear();
      collectedVersion = view.version();
    }
    Set<SlotHolder> voters = collected.computeIfAbsent(silent, key -> new HashSet<>());
    voters.add(voter);
    int slots = 0;
    for (SlotHolder each : voters) {
      slots += view.register().slotsOf(each).size();
    }
    return slots >= view.register().majority();
  }

  /**
   * Forgets former holders, and votes that the new version of the register made void: a write that
   * rests on them expects the old version.
   */
  void registerChanged(CellRegister register) {
    condemned.clear();
    promisedNanoseconds.keySet().retainAll(register.distinctHolders());
  }
}
