package org.corianderweir.logic.limits.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.limits.LimitTiming;

/**
 * One entry instance's part in its cell: claims slots, stays sure of them by the confirmations of a
 * majority of the cell's slots, takes over from holders that a majority found silent, and hands
 * over. Used by the control thread alone. The decision record 0011 gives the reasoning.
 */
public final class CellMember {
  private static final long PROBE_PERIOD_NANOSECONDS = 500_000_000L;
  private static final long LONGEST_TICK_NANOSECONDS = 1_000_000_000L;
  private static final long RETRY_PERIOD_NANOSECONDS = 1_000_000_000L;

  private final SlotHolder self;
  private final long startedNanoseconds;
  private final Confirmations confirmations = new Confirmations();
  private final SilenceVotes votes = new SilenceVotes(LimitTiming.TAKEOVER.toNanos());
  private final GainedSlots gained = new GainedSlots();
  private final SlotRelease release = new SlotRelease();
  private CellView view;
  private boolean registerKnown;
  private boolean writing;
  private long joinedNanoseconds;
  private long tickedNanoseconds = Long.MIN_VALUE;
  private long probedNanoseconds = Long.MIN_VALUE;
  private long storeTriedNanoseconds = Long.MIN_VALUE;

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
   * Returns the slots of {@link #slots()} on which no request of a former holder can still run.
   *
   * @param settleNanoseconds longest time that a former holder's request or loan may last
   */
  public List<Integer> settledSlots(long settleNanoseconds, long nowNanoseconds) {
    return slots().stream()
        .filter(slot -> gained.settled(slot, settleNanoseconds, nowNanoseconds))
        .toList();
  }

  /** Returns the register as known. */
  public CellView view() {
    return view;
  }

  /** Returns the time until which this instance is sure of its slots. */
  public long validUntilNanoseconds(long nowNanoseconds) {
    long confirmed = confirmations.majorityNanoseconds(view.register(), self, nowNanoseconds);
    return confirmed == Long.MIN_VALUE ? confirmed : confirmed + LimitTiming.FENCE.toNanos();
  }

  /** Begins to give all slots up, for a planned stop. */
  public void leave(long nowNanoseconds) {
    release.begin(view.register().slotsOf(self), Optional.empty(), nowNanoseconds);
    release.leave();
  }

  /** Returns whether a planned stop has given all slots up. */
  public boolean hasLeft() {
    return view.register().slotsOf(self).isEmpty();
  }

  /**
   * Looks after the slots; to be called several times a second.
   *
   * @param zoneMembers number of live entry instances of the cell, this one too
   */
  public List<SlotAction> tick(int zoneMembers, long nowNanoseconds) {
    List<SlotAction> actions = new ArrayList<>();
    notePause(nowNanoseconds);
    probe(nowNanoseconds, actions);
    boolean storeDue = isDue(storeTriedNanoseconds, RETRY_PERIOD_NANOSECONDS, nowNanoseconds);
    if (!storeDue) {
      return actions;
    }
    storeTriedNanoseconds = nowNanoseconds;
    writing = false;
    if (!registerKnown) {
      actions.add(new SlotAction.ReadRegister());
      return actions;
    }
    change(zoneMembers, nowNanoseconds)
        .ifPresent(register -> actions.add(write(register, nowNanoseconds)));
    askForVotes(nowNanoseconds, actions);
    askForHandover(actions);
    return actions;
  }

  /** Takes the register as read or as written by this instance. */
  public void registerStored(CellView stored, long nowNanoseconds) {
    registerKnown = true;
    writing = false;
    storeTriedNanoseconds = Long.MIN_VALUE;
    adopt(stored, nowNanoseconds);
  }

  /** Takes note that another write came first, so that the register has to be read at once. */
  public void registerConflict() {
    storeFailed();
    storeTriedNanoseconds = Long.MIN_VALUE;
  }

  /** Takes note that a write or read failed, so that what took effect has to be read. */
  public void storeFailed() {
    registerKnown = false;
    writing = false;
  }

  /** Handles a message of another instance of the cell. */
  public List<SlotAction> receive(SlotMessage message, long nowNanoseconds) {
    return switch (message) {
      case SlotMessage.Probe probe -> confirm(probe, nowNanoseconds);
      case SlotMessage.Confirmation confirmation -> {
        adopt(confirmation.view(), nowNanoseconds);
        confirmations.distrust(confirmation.condemned());
        confirmations.confirmed(confirmation.sender(), confirmation.echoedNanoseconds());
        yield List.of();
      }
      case SlotMessage.VoteRequest request -> vote(request, nowNanoseconds);
      case SlotMessage.Vote vote -> count(vote, nowNanoseconds);
      case SlotMessage.HandoverRequest request -> {
        handOver(request.sender(), nowNanoseconds);
        yield List.of();
      }
    };
  }

  private void probe(long nowNanoseconds, List<SlotAction> actions) {
    if (!isDue(probedNanoseconds, PROBE_PERIOD_NANOSECONDS, nowNanoseconds)) {
      return;
    }
    probedNanoseconds = nowNanoseconds;
    SlotMessage probe = new SlotMessage.Probe(self, nowNanoseconds, view);
    for (SlotHolder holder : others()) {
      actions.add(new SlotAction.Send(holder, probe));
    }
  }

  private List<SlotAction> confirm(SlotMessage.Probe probe, long nowNanoseconds) {
    adopt(probe.view(), nowNanoseconds);
    if (!votes.promise(probe.sender(), nowNanoseconds)) {
      return List.of();
    }
    SlotMessage answer =
        new SlotMessage.Confirmation(self, probe.sentNanoseconds(), view, votes.condemned());
    return List.of(new SlotAction.Send(probe.sender(), answer));
  }

  private List<SlotAction> vote(SlotMessage.VoteRequest request, long nowNanoseconds) {
    boolean mayVote =
        request.version() == view.version()
            && !request.silent().equals(self)
            && isSure(nowNanoseconds)
            && votes.isSilent(request.silent(), joinedNanoseconds, nowNanoseconds);
    if (!mayVote) {
      return List.of();
    }
    condemn(request.silent());
    SlotMessage vote = new SlotMessage.Vote(self, request.silent(), request.version());
    return List.of(new SlotAction.Send(request.sender(), vote));
  }

  private List<SlotAction> count(SlotMessage.Vote vote, long nowNanoseconds) {
    List<Integer> slots = view.register().slotsOf(vote.silent());
    boolean current = vote.version() == view.version() && registerKnown && !writing;
    if (!current || slots.isEmpty() || release.isLeaving()) {
      return List.of();
    }
    if (!votes.collect(vote.silent(), vote.sender(), view)) {
      return List.of();
    }
    return List.of(write(view.register().with(slots, Optional.of(self)), nowNanoseconds));
  }

  private void askForVotes(long nowNanoseconds, List<SlotAction> actions) {
    if (release.isLeaving()) {
      return;
    }
    for (SlotHolder holder : others()) {
      if (!votes.isSilent(holder, joinedNanoseconds, nowNanoseconds)) {
        continue;
      }
      SlotMessage request = new SlotMessage.VoteRequest(self, holder, view.version());
      if (isSure(nowNanoseconds)) {
        condemn(holder);
        actions.addAll(count(new SlotMessage.Vote(self, holder, view.version()), nowNanoseconds));
      }
      others().stream()
          .filter(other -> !other.equals(holder))
          .forEach(other -> actions.add(new SlotAction.Send(other, request)));
    }
  }

  /** A holder that a majority does not confirm has no say over others: it may be the silent one. */
  private boolean isSure(long nowNanoseconds) {
    return !slots().isEmpty() && validUntilNanoseconds(nowNanoseconds) > nowNanoseconds;
  }

  /** Promises made before a pause of this process say nothing of the others' silence. */
  private void notePause(long nowNanoseconds) {
    boolean first = tickedNanoseconds == Long.MIN_VALUE;
    if (!first && nowNanoseconds - tickedNanoseconds > LONGEST_TICK_NANOSECONDS) {
      joinedNanoseconds = nowNanoseconds;
    }
    tickedNanoseconds = nowNanoseconds;
  }

  private void condemn(SlotHolder holder) {
    votes.condemn(holder);
    confirmations.distrust(List.of(holder));
  }

  private void askForHandover(List<SlotAction> actions) {
    boolean hasOne = !view.register().slotsOf(self).isEmpty();
    if (hasOne || release.isLeaving() || !view.register().freeSlots().isEmpty()) {
      return;
    }
    others().stream()
        .filter(holder -> view.register().slotsOf(holder).size() > 1)
        .max(Comparator.comparing(holder -> view.register().slotsOf(holder).size()))
        .ifPresent(
            holder ->
                actions.add(new SlotAction.Send(holder, new SlotMessage.HandoverRequest(self))));
  }

  private void handOver(SlotHolder requester, long nowNanoseconds) {
    List<Integer> held = slots();
    boolean known = !view.register().slotsOf(requester).isEmpty();
    if (held.size() < 2 || known || !registerKnown || release.isUnderway()) {
      return;
    }
    release.begin(List.of(held.getLast()), Optional.of(requester), nowNanoseconds);
  }

  /** Returns the change of the register that this instance may make by itself now. */
  private Optional<CellRegister> change(int zoneMembers, long nowNanoseconds) {
    CellRegister register = view.register();
    Optional<CellRegister> released = release.finished(register, self, nowNanoseconds);
    if (released.isPresent() || release.isLeaving()) {
      return released;
    }
    boolean mayReplace = nowNanoseconds - startedNanoseconds >= LimitTiming.TAKEOVER.toNanos();
    Optional<CellRegister> replaced =
        mayReplace ? SlotClaims.replaceEarlierRun(register, self) : Optional.empty();
    return replaced.or(() -> SlotClaims.takeFree(register, self, zoneMembers));
  }

  private SlotAction write(CellRegister register, long nowNanoseconds) {
    writing = true;
    storeTriedNanoseconds = nowNanoseconds;
    return new SlotAction.WriteRegister(view.version(), register);
  }

  private void adopt(CellView other, long nowNanoseconds) {
    if (other.version() <= view.version()) {
      return;
    }
    boolean held = !view.register().slotsOf(self).isEmpty();
    gained.registerChanged(view, other, self, nowNanoseconds);
    view = other;
    if (!held && !view.register().slotsOf(self).isEmpty()) {
      joinedNanoseconds = nowNanoseconds;
    }
    release.retain(view.register().slotsOf(self));
    confirmations.registerChanged(view.register());
    votes.registerChanged(view.register());
  }

  private List<SlotHolder> others() {
    return view.register().distinctHolders().stream()
        .filter(holder -> !holder.equals(self))
        .toList();
  }

  private static boolean isDue(long lastNanoseconds, long period, long nowNanoseconds) {
    return lastNanoseconds == Long.MIN_VALUE || nowNanoseconds - lastNanoseconds >= period;
  }
}
