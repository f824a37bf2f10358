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
final class TakeoverVotes {
  private final long takeoverNanoseconds;
  private final Map<SlotHolder, Long> promiseNanoseconds = new HashMap<>();
  private final Set<SlotHolder> votedAgainst = new HashSet<>();
  private final Map<SlotHolder, Set<SlotHolder>> votersBySuspect = new HashMap<>();
  private long votesVersion;

  TakeoverVotes(long takeoverNanoseconds) {
    this.takeoverNanoseconds = takeoverNanoseconds;
  }

  /** Promises a holder not to vote against it; returns false if it was condemned before. */
  boolean promise(SlotHolder holder, long nowNanoseconds) {
    if (votedAgainst.contains(holder)) {
      return false;
    }
    promiseNanoseconds.put(holder, nowNanoseconds);
    return true;
  }

  /** Returns whether no promise to a holder binds and enough time has passed since joining. */
  boolean isUnresponsive(SlotHolder holder, long joinedNanoseconds, long nowNanoseconds) {
    long latest =
        Math.max(joinedNanoseconds, promiseNanoseconds.getOrDefault(holder, Long.MIN_VALUE));
    return nowNanoseconds - latest >= takeoverNanoseconds;
  }

  void recordVoteAgainst(SlotHolder holder) {
    votedAgainst.add(holder);
  }

  List<SlotHolder> votedAgainst() {
    return List.copyOf(votedAgainst);
  }

  /** Counts a vote; returns whether the voters now have a majority of the slots. */
  boolean countVote(SlotHolder suspect, SlotHolder voter, CellView view) {
    if (votesVersion != view.version()) {
      votersBySuspect.clear();
      votesVersion = view.version();
    }
    Set<SlotHolder> voters = votersBySuspect.computeIfAbsent(suspect, key -> new HashSet<>());
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
    votedAgainst.clear();
    promiseNanoseconds.keySet().retainAll(register.distinctHolders());
  }
}
