package org.corianderweir.logic.limits.slots;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The promises and votes that one instance has made in its cell, and the votes that it has
 * collected. Not thread-safe.
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

  /**
   * Promises a holder not to vote against it. Returns false if this instance has already voted
   * against it.
   */
  boolean promise(SlotHolder holder, long nowNanoseconds) {
    if (votedAgainst.contains(holder)) {
      return false;
    }
    promiseNanoseconds.put(holder, nowNanoseconds);
    return true;
  }

  /**
   * Returns whether the takeover timeout has passed since the last promise to a holder and since
   * this instance joined.
   */
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
    for (SlotHolder holder : voters) {
      slots += view.register().slotsOf(holder).size();
    }
    return slots >= view.register().majority();
  }

  /**
   * Forgets the promises to former holders, and all own votes. The votes hold only for the old
   * version of the register, since a takeover that they allow is a write that expects that version.
   */
  void registerChanged(CellRegister register) {
    votedAgainst.clear();
    promiseNanoseconds.keySet().retainAll(register.distinctHolders());
  }
}
