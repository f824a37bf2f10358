package org.corianderweir.logic.limits.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.limits.LimitTiming;

/**
 * One entry instance as a member of its cell. It claims free slots, keeps its slots valid by
 * confirmations from a majority of the cell's slots, takes over the slots of holders that a
 * majority found unresponsive, and hands slots over to instances without one. Only the control
 * thread uses it. Decision record 0011 explains the protocol.
 */
public final class CellMember {
  private static final long PROBE_PERIOD_NANOSECONDS = 500_000_000L;
  private static final long PAUSE_THRESHOLD_NANOSECONDS = 1_000_000_000L;
  private static final long STORE_RETRY_PERIOD_NANOSECONDS = 1_000_000_000L;

  private final SlotHolder self;
  private final long startedNanoseconds;
  private final Confirmations confirmations = new Confirmations();
  private final TakeoverVotes votes = new TakeoverVotes(LimitTiming.TAKEOVER_TIMEOUT.toNanos());
  private final AcquiredSlots acquiredSlots = new AcquiredSlots();
  private final SlotRelease release = new SlotRelease();
  private CellView view;
  private boolean registerKnown;
  private boolean writePending;
  private long joinedNanoseconds;
  private long lastTickNanoseconds = Long.MIN_VALUE;
  private long lastProbeNanoseconds = Long.MIN_VALUE;
  private long lastStoreAttemptNanoseconds = Long.MIN_VALUE;

  /**
   * Creates a member without slots.
   *
   * @param self this run of the instance, which has bound its address
   * @param slots number of slots of the cell
   * @param nowNanoseconds present monotonic time
   */
  public CellMember(SlotHolder self, int slots, long nowNanoseconds) {
    this.self = self;
    this.startedNanoseconds = nowNanoseconds;
    this.joinedNanoseconds = nowNanoseconds;
    this.view = new CellView(0, CellRegister.free(slots));
  }

  /** Returns the slots whose slices this instance may spend and lend. */
  public List<Integer> slots() {
    return release.withoutReleased(view.register().slotsOf(self));
  }

  /**
   * Returns those of {@link #slots()} on which no request of a former holder can still be running.
   *
   * @param settleNanoseconds longest time that a former holder's request or loan may last
   */
  public List<Integer> settledSlots(long settleNanoseconds, long nowNanoseconds) {
    return slots().stream()
        .filter(slot -> acquiredSlots.isSettled(slot, settleNanoseconds, nowNanoseconds))
        .toList();
  }

  /** Returns the latest register that this instance knows. */
  public CellView view() {
    return view;
  }

  /**
   * Returns the time until which a majority of the cell's slots has confirmed this instance, or
   * {@code Long.MIN_VALUE} if there is none.
   */
  public long validUntilNanoseconds(long nowNanoseconds) {
    long confirmed =
        confirmations.majorityConfirmedNanoseconds(view.register(), self, nowNanoseconds);
    return confirmed == Long.MIN_VALUE
        ? confirmed
        : confirmed + LimitTiming.CONFIRMATION_TIMEOUT.toNanos();
  }

  /** Begins to release all slots, for a planned stop. */
  public void leave(long nowNanoseconds) {
    release.begin(view.register().slotsOf(self), Optional.empty(), nowNanoseconds);
    release.leave();
  }

  /** Returns whether this instance holds no slot any more after a planned stop began. */
  public boolean hasLeft() {
    return view.register().slotsOf(self).isEmpty();
  }

  /**
   * Sends probes, requests votes, and claims or releases slots as needed. Call it several times a
   * second.
   *
   * @param zoneMembers number of live entry instances of the cell, including this one
   */
  public List<SlotAction> tick(int zoneMembers, long nowNanoseconds) {
    List<SlotAction> actions = new ArrayList<>();
    detectPause(nowNanoseconds);
    sendProbesIfDue(nowNanoseconds, actions);
    boolean storeDue =
        isDue(lastStoreAttemptNanoseconds, STORE_RETRY_PERIOD_NANOSECONDS, nowNanoseconds);
    if (!storeDue) {
      return actions;
    }
    lastStoreAttemptNanoseconds = nowNanoseconds;
    writePending = false;
    if (!registerKnown) {
      actions.add(new SlotAction.ReadRegister());
      return actions;
    }
    nextRegisterChange(zoneMembers, nowNanoseconds)
        .ifPresent(register -> actions.add(writeAction(register, nowNanoseconds)));
    requestVotes(nowNanoseconds, actions);
    requestHandover(actions);
    return actions;
  }

  /** Accepts the register as read or written by this instance. */
  public void registerStored(CellView stored, long nowNanoseconds) {
    registerKnown = true;
    writePending = false;
    lastStoreAttemptNanoseconds = Long.MIN_VALUE;
    acceptView(stored, nowNanoseconds);
  }

  /**
   * Records that a write failed because another write came first; the register is read again at
   * once.
   */
  public void registerConflict() {
    storeFailed();
    lastStoreAttemptNanoseconds = Long.MIN_VALUE;
  }

  /**
   * Records that a write or read failed. The register has to be read again, since a failed write
   * may have taken effect.
   */
  public void storeFailed() {
    registerKnown = false;
    writePending = false;
  }

  /** Handles a message from another instance of the cell. */
  public List<SlotAction> receive(SlotMessage message, long nowNanoseconds) {
    return switch (message) {
      case SlotMessage.Probe probe -> respondToProbe(probe, nowNanoseconds);
      case SlotMessage.Confirmation confirmation -> {
        acceptView(confirmation.view(), nowNanoseconds);
        confirmations.excludeUntilRegisterChange(confirmation.votedAgainst());
        confirmations.recordConfirmation(confirmation.sender(), confirmation.echoedNanoseconds());
        yield List.of();
      }
      case SlotMessage.VoteRequest request -> respondToVoteRequest(request, nowNanoseconds);
      case SlotMessage.Vote vote -> countVote(vote, nowNanoseconds);
      case SlotMessage.HandoverRequest request -> {
        handOver(request.sender(), nowNanoseconds);
        yield List.of();
      }
    };
  }

  private void sendProbesIfDue(long nowNanoseconds, List<SlotAction> actions) {
    if (!isDue(lastProbeNanoseconds, PROBE_PERIOD_NANOSECONDS, nowNanoseconds)) {
      return;
    }
    lastProbeNanoseconds = nowNanoseconds;
    SlotMessage probe = new SlotMessage.Probe(self, nowNanoseconds, view);
    for (SlotHolder holder : otherHolders()) {
      actions.add(new SlotAction.Send(holder, probe));
    }
  }

  private List<SlotAction> respondToProbe(SlotMessage.Probe probe, long nowNanoseconds) {
    acceptView(probe.view(), nowNanoseconds);
    if (!votes.promise(probe.sender(), nowNanoseconds)) {
      return List.of();
    }
    SlotMessage confirmation =
        new SlotMessage.Confirmation(self, probe.sentNanoseconds(), view, votes.votedAgainst());
    return List.of(new SlotAction.Send(probe.sender(), confirmation));
  }

  private List<SlotAction> respondToVoteRequest(
      SlotMessage.VoteRequest request, long nowNanoseconds) {
    boolean mayVote =
        request.version() == view.version()
            && !request.suspect().equals(self)
            && isConfirmed(nowNanoseconds)
            && votes.isUnresponsive(request.suspect(), joinedNanoseconds, nowNanoseconds);
    if (!mayVote) {
      return List.of();
    }
    voteAgainst(request.suspect());
    SlotMessage vote = new SlotMessage.Vote(self, request.suspect(), request.version());
    return List.of(new SlotAction.Send(request.sender(), vote));
  }

  private List<SlotAction> countVote(SlotMessage.Vote vote, long nowNanoseconds) {
    List<Integer> slots = view.register().slotsOf(vote.suspect());
    boolean current = vote.version() == view.version() && registerKnown && !writePending;
    if (!current || slots.isEmpty() || release.isLeaving()) {
      return List.of();
    }
    if (!votes.countVote(vote.suspect(), vote.sender(), view)) {
      return List.of();
    }
    return List.of(writeAction(view.register().with(slots, Optional.of(self)), nowNanoseconds));
  }

  private void requestVotes(long nowNanoseconds, List<SlotAction> actions) {
    if (release.isLeaving()) {
      return;
    }
    for (SlotHolder holder : otherHolders()) {
      if (!votes.isUnresponsive(holder, joinedNanoseconds, nowNanoseconds)) {
        continue;
      }
      SlotMessage request = new SlotMessage.VoteRequest(self, holder, view.version());
      if (isConfirmed(nowNanoseconds)) {
        voteAgainst(holder);
        actions.addAll(
            countVote(new SlotMessage.Vote(self, holder, view.version()), nowNanoseconds));
      }
      otherHolders().stream()
          .filter(other -> !other.equals(holder))
          .forEach(other -> actions.add(new SlotAction.Send(other, request)));
    }
  }

  /**
   * Returns whether a majority confirms this instance. Without that it must not vote against other
   * holders, because it may itself be the one that is cut off.
   */
  private boolean isConfirmed(long nowNanoseconds) {
    return !slots().isEmpty() && validUntilNanoseconds(nowNanoseconds) > nowNanoseconds;
  }

  /**
   * Restarts the takeover timeouts after a pause of this process: during the pause it received no
   * probes, so their absence does not show that other holders are unresponsive.
   */
  private void detectPause(long nowNanoseconds) {
    boolean first = lastTickNanoseconds == Long.MIN_VALUE;
    if (!first && nowNanoseconds - lastTickNanoseconds > PAUSE_THRESHOLD_NANOSECONDS) {
      joinedNanoseconds = nowNanoseconds;
    }
    lastTickNanoseconds = nowNanoseconds;
  }

  private void voteAgainst(SlotHolder holder) {
    votes.recordVoteAgainst(holder);
    confirmations.excludeUntilRegisterChange(List.of(holder));
  }

  private void requestHandover(List<SlotAction> actions) {
    boolean holdsSlot = !view.register().slotsOf(self).isEmpty();
    if (holdsSlot || release.isLeaving() || !view.register().freeSlots().isEmpty()) {
      return;
    }
    otherHolders().stream()
        .filter(holder -> view.register().slotsOf(holder).size() > 1)
        .max(Comparator.comparing(holder -> view.register().slotsOf(holder).size()))
        .ifPresent(
            holder ->
                actions.add(new SlotAction.Send(holder, new SlotMessage.HandoverRequest(self))));
  }

  private void handOver(SlotHolder requester, long nowNanoseconds) {
    List<Integer> held = slots();
    boolean requesterHoldsSlot = !view.register().slotsOf(requester).isEmpty();
    if (held.size() < 2 || requesterHoldsSlot || !registerKnown || release.isInProgress()) {
      return;
    }
    release.begin(List.of(held.getLast()), Optional.of(requester), nowNanoseconds);
  }

  /** Returns the change of the register that this instance may make now without votes of others. */
  private Optional<CellRegister> nextRegisterChange(int zoneMembers, long nowNanoseconds) {
    CellRegister register = view.register();
    Optional<CellRegister> released = release.registerAfterRelease(register, self, nowNanoseconds);
    if (released.isPresent() || release.isLeaving()) {
      return released;
    }
    boolean mayReplace =
        nowNanoseconds - startedNanoseconds >= LimitTiming.TAKEOVER_TIMEOUT.toNanos();
    Optional<CellRegister> replaced =
        mayReplace ? SlotClaims.replaceEarlierIncarnation(register, self) : Optional.empty();
    return replaced.or(() -> SlotClaims.claimFreeSlots(register, self, zoneMembers));
  }

  private SlotAction writeAction(CellRegister register, long nowNanoseconds) {
    writePending = true;
    lastStoreAttemptNanoseconds = nowNanoseconds;
    return new SlotAction.WriteRegister(view.version(), register);
  }

  private void acceptView(CellView other, long nowNanoseconds) {
    if (other.version() <= view.version()) {
      return;
    }
    boolean held = !view.register().slotsOf(self).isEmpty();
    acquiredSlots.registerChanged(view, other, self, nowNanoseconds);
    view = other;
    if (!held && !view.register().slotsOf(self).isEmpty()) {
      joinedNanoseconds = nowNanoseconds;
    }
    release.retain(view.register().slotsOf(self));
    confirmations.registerChanged(view.register());
    votes.registerChanged(view.register());
  }

  private List<SlotHolder> otherHolders() {
    return view.register().distinctHolders().stream()
        .filter(holder -> !holder.equals(self))
        .toList();
  }

  private static boolean isDue(long lastNanoseconds, long period, long nowNanoseconds) {
    return lastNanoseconds == Long.MIN_VALUE || nowNanoseconds - lastNanoseconds >= period;
  }
}
