package org.corianderweir.logic.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.corianderweir.logic.limits.slots.CellMember;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotAction;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.logic.limits.slots.SlotMessage;
import org.jspecify.annotations.Nullable;

/**
 * All limits of one entry instance: the slots it holds, the slices they give it, and the loans
 * between instances. This is what a program embeds.
 *
 * <p>One thread calls everything but {@link #gate} and {@link #permits}, which any thread may call
 * and whose results are thread-safe. Times are monotonic nanoseconds of this process.
 */
public final class FleetLimits {
  /** Time after a change of shape during which no slice grows, so that all learn of it first. */
  public static final long SETTLE_NANOSECONDS = 10_000_000_000L;

  private static final long APPLY_PERIOD_NANOSECONDS = 100_000_000L;
  private static final long RETIRED_NANOSECONDS = 60_000_000_000L;
  private static final long RATE_LOAN_NANOSECONDS = LimitTiming.LOAN_LIFETIME.toNanos();

  private final String zone;
  private final CellMember member;
  private final LoanBroker broker;
  private final Map<String, Limited> limits = new ConcurrentHashMap<>();
  private final Map<String, Retired> retired = new HashMap<>();
  private List<Lender> lenders = List.of();
  private List<Integer> appliedSlots = List.of();
  private long appliedNanoseconds;
  private long appliedValidUntil = Long.MIN_VALUE;
  private FleetShape shape;
  private FleetShape formerShape;
  private long settledNanoseconds = Long.MIN_VALUE;

  private record Retired(Limited limited, long forgetNanoseconds) {}

  private record Limited(
      Allowance limit, LendableSlice slice, Optional<AdmissionGate> gate, long settleNanoseconds) {}

  /**
   * What is to be sent and stored.
   *
   * @param loans messages about loans
   * @param slots messages about slots, and what is to be read or written
   */
  public record Actions(List<AddressedMessage<LoanMessage>> loans, List<SlotAction> slots) {}

  /**
   * Creates the limits of an instance that holds no slot yet.
   *
   * @param self this run of the instance
   * @param zone its availability zone
   * @param shape slots of the fleet
   */
  public FleetLimits(SlotHolder self, String zone, FleetShape shape, long nowNanoseconds) {
    this.zone = zone;
    this.shape = shape;
    this.formerShape = shape;
    this.appliedNanoseconds = nowNanoseconds;
    this.member = new CellMember(self, shape.slotsPerZone(), nowNanoseconds);
    this.broker = new LoanBroker(self.instance(), self.incarnation());
  }

  /** Returns the part in the cell, which tells of slots and takes outcomes of the store. */
  public CellMember member() {
    return member;
  }

  /** Changes the zones of the fleet; slices shrink at once and grow after the settling time. */
  public void reshape(FleetShape changed, long nowNanoseconds) {
    if (changed.equals(shape)) {
      return;
    }
    if (!shape.zones().isEmpty()) {
      formerShape = shape;
      settledNanoseconds = nowNanoseconds + SETTLE_NANOSECONDS;
    }
    shape = changed;
    apply(nowNanoseconds);
  }

  /** Defines or changes a limit on a rate. */
  public void defineRate(String limitName, Allowance limit, long nowNanoseconds) {
    Limited known = known(limitName);
    if (limits.containsKey(limitName) && known != null && known.limit().equals(limit)) {
      return;
    }
    SliceBucket bucket =
        known != null && known.slice() instanceof SliceBucket kept
            ? kept
            : new SliceBucket(nowNanoseconds);
    AdmissionGate gate =
        known == null
            ? new AdmissionGate(bucket, limit.rate())
            : known.gate().orElseGet(() -> new AdmissionGate(bucket, limit.rate()));
    gate.setReachableRate(limit.rate());
    put(limitName, new Limited(limit, bucket, Optional.of(gate), 0), RATE_LOAN_NANOSECONDS);
    apply(nowNanoseconds);
  }

  /**
   * Defines or changes a limit on concurrency.
   *
   * @param permits requests that may run at the same time
   * @param loanNanoseconds lifetime of loans, longer than the deadline of any request
   */
  public void defineConcurrency(
      String limitName, int permits, long loanNanoseconds, long nowNanoseconds) {
    Limited known = known(limitName);
    Allowance limit = new Allowance(0, permits);
    if (limits.containsKey(limitName) && known != null && known.limit().equals(limit)) {
      return;
    }
    LendableSlice slice =
        known != null && known.slice() instanceof ConcurrencyPermits kept
            ? kept
            : new ConcurrencyPermits();
    put(limitName, new Limited(limit, slice, Optional.empty(), loanNanoseconds), loanNanoseconds);
    apply(nowNanoseconds);
  }

  /**
   * Drops the limits that are not among the given names. Their slices are kept for a while, so that
   * a limit that is dropped and defined again does not spend what it has lent.
   */
  public void retain(List<String> limitNames, long nowNanoseconds) {
    retired.values().removeIf(old -> nowNanoseconds >= old.forgetNanoseconds());
    for (String name : List.copyOf(limits.keySet())) {
      if (!limitNames.contains(name)) {
        Limited dropped = limits.remove(name);
        dropped.gate().ifPresent(AdmissionGate::close);
        broker.remove(name);
        retired.put(name, new Retired(dropped, nowNanoseconds + RETIRED_NANOSECONDS));
      }
    }
  }

  private @Nullable Limited known(String limitName) {
    Limited current = limits.get(limitName);
    if (current != null) {
      return current;
    }
    Retired old = retired.remove(limitName);
    return old == null ? null : old.limited();
  }

  /** Returns the gate of a limit on a rate. */
  public Optional<AdmissionGate> gate(String limitName) {
    Limited limited = limits.get(limitName);
    return limited == null ? Optional.empty() : limited.gate();
  }

  /** Returns the permits of a limit on concurrency. */
  public Optional<ConcurrencyPermits> permits(String limitName) {
    Limited limited = limits.get(limitName);
    return limited != null && limited.slice() instanceof ConcurrencyPermits permits
        ? Optional.of(permits)
        : Optional.empty();
  }

  /**
   * Looks after slots, loans and waiting requests; to be called every few tens of milliseconds.
   *
   * @param peers the other live instances, without this one
   */
  public Actions tick(List<Lender> peers, long nowNanoseconds, RandomGenerator random) {
    int zoneMembers = 1 + (int) peers.stream().filter(Lender::near).count();
    List<SlotAction> slotActions = member.tick(zoneMembers, nowNanoseconds);
    applyIfDue(nowNanoseconds);
    if (!peers.equals(lenders)) {
      lenders = List.copyOf(peers);
      limits.keySet().forEach(name -> broker.setLenders(name, lenders));
    }
    pump(nowNanoseconds);
    return new Actions(broker.tick(nowNanoseconds, random), slotActions);
  }

  /** Handles a message about a loan. */
  public Actions receive(String sender, LoanMessage message, long nowNanoseconds) {
    List<AddressedMessage<LoanMessage>> answers = broker.receive(sender, message, nowNanoseconds);
    gate(message.limit()).ifPresent(gate -> gate.pump(nowNanoseconds));
    return new Actions(answers, List.of());
  }

  /** Handles a message about slots. */
  public Actions receive(SlotMessage message, long nowNanoseconds) {
    List<SlotAction> actions = member.receive(message, nowNanoseconds);
    applyIfDue(nowNanoseconds);
    return new Actions(List.of(), actions);
  }

  /** Takes the register as read or written by this instance. */
  public void registerStored(CellView stored, long nowNanoseconds) {
    member.registerStored(stored, nowNanoseconds);
    apply(nowNanoseconds);
  }

  /** Begins a planned stop: loans go back and slots are given up. */
  public Actions leave(long nowNanoseconds) {
    member.leave(nowNanoseconds);
    apply(nowNanoseconds);
    return new Actions(new ArrayList<>(broker.giveAllBack(nowNanoseconds)), List.of());
  }

  private void put(String limitName, Limited limited, long loanNanoseconds) {
    limits.put(limitName, limited);
    broker.define(limitName, limited.slice(), shape.typicalSlice(limited.limit()), loanNanoseconds);
  }

  private void pump(long nowNanoseconds) {
    for (Limited limited : limits.values()) {
      if (limited.gate().isPresent()) {
        AdmissionGate gate = limited.gate().get();
        gate.setHeldRate(gate.bucket().held(nowNanoseconds).rate());
        gate.pump(nowNanoseconds);
      }
    }
  }

  /** What grows may wait a little; what shrinks takes effect at once. */
  private void applyIfDue(long nowNanoseconds) {
    boolean due = nowNanoseconds - appliedNanoseconds >= APPLY_PERIOD_NANOSECONDS;
    boolean slotsChanged = !member.slots().equals(appliedSlots);
    if (due || slotsChanged || member.validUntilNanoseconds(nowNanoseconds) < appliedValidUntil) {
      apply(nowNanoseconds);
    }
  }

  /** Gives each slice what the slots held call for, as long as the instance is sure of them. */
  private void apply(long nowNanoseconds) {
    long validUntil = member.validUntilNanoseconds(nowNanoseconds);
    appliedNanoseconds = nowNanoseconds;
    appliedSlots = member.slots();
    appliedValidUntil = validUntil;
    boolean settled = nowNanoseconds >= settledNanoseconds;
    limits.forEach(
        (name, limited) -> {
          List<Integer> usable = member.settledSlots(limited.settleNanoseconds(), nowNanoseconds);
          Allowance own = own(shape, name, limited.limit(), usable);
          Allowance former = settled ? own : own(formerShape, name, limited.limit(), usable);
          limited.slice().setOwn(own.limitedTo(former), nowNanoseconds);
          limited.slice().renewOwn(validUntil, nowNanoseconds);
        });
  }

  private Allowance own(FleetShape inShape, String name, Allowance limit, List<Integer> slots) {
    Allowance sum = Allowance.NONE;
    for (int slot : slots) {
      sum = sum.plus(inShape.slice(name, limit, zone, slot));
    }
    return sum;
  }
}
