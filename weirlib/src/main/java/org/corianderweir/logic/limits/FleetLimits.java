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
 * <p>One thread calls everything but {@link #admissionController} and {@link #permits}, which any
 * thread may call and whose results are thread-safe. Times are monotonic nanoseconds of this
 * process.
 */
public final class FleetLimits {
  /** Time after a change of shape during which no slice grows, so that all learn of it first. */
  public static final long SETTLING_NANOSECONDS = 10_000_000_000L;

  private static final long APPLY_PERIOD_NANOSECONDS = 100_000_000L;
  private static final long RETIRED_LIMIT_RETENTION_NANOSECONDS = 60_000_000_000L;
  private static final long RATE_LOAN_LIFETIME_NANOSECONDS = LimitTiming.LOAN_LIFETIME.toNanos();

  private final String zone;
  private final CellMember member;
  private final LoanBroker broker;
  private final Map<String, DefinedLimit> limits = new ConcurrentHashMap<>();
  private final Map<String, RetiredLimit> retired = new HashMap<>();
  private List<Lender> lenders = List.of();
  private List<Integer> appliedSlots = List.of();
  private long lastAppliedNanoseconds;
  private long appliedValidUntilNanoseconds = Long.MIN_VALUE;
  private SlotLayout layout;
  private SlotLayout previousLayout;
  private long settlingEndNanoseconds = Long.MIN_VALUE;

  private record RetiredLimit(DefinedLimit definition, long forgetNanoseconds) {}

  private record DefinedLimit(
      Allowance limit,
      LendableSlice slice,
      Optional<AdmissionController> admissionController,
      long settlingNanoseconds) {}

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
   * @param layout slots of the fleet
   */
  public FleetLimits(SlotHolder self, String zone, SlotLayout layout, long nowNanoseconds) {
    this.zone = zone;
    this.layout = layout;
    this.previousLayout = layout;
    this.lastAppliedNanoseconds = nowNanoseconds;
    this.member = new CellMember(self, layout.slotsPerZone(), nowNanoseconds);
    this.broker = new LoanBroker(self.instance(), self.incarnation());
  }

  /** Returns the part in the cell, which tells of slots and takes outcomes of the store. */
  public CellMember member() {
    return member;
  }

  /** Changes the zones of the fleet; slices shrink at once and grow after the settling time. */
  public void changeLayout(SlotLayout newLayout, long nowNanoseconds) {
    if (newLayout.equals(layout)) {
      return;
    }
    if (!layout.zones().isEmpty()) {
      previousLayout = layout;
      settlingEndNanoseconds = nowNanoseconds + SETTLING_NANOSECONDS;
    }
    layout = newLayout;
    applySlots(nowNanoseconds);
  }

  /** Defines or changes a limit on a rate. */
  public void defineRate(String limitName, Allowance limit, long nowNanoseconds) {
    DefinedLimit existing = currentOrRetired(limitName);
    if (limits.containsKey(limitName) && existing != null && existing.limit().equals(limit)) {
      return;
    }
    SliceBucket bucket =
        existing != null && existing.slice() instanceof SliceBucket kept
            ? kept
            : new SliceBucket(nowNanoseconds);
    AdmissionController controller =
        existing == null
            ? new AdmissionController(bucket, limit.rate())
            : existing
                .admissionController()
                .orElseGet(() -> new AdmissionController(bucket, limit.rate()));
    controller.setAttainableRate(limit.rate());
    putLimit(
        limitName,
        new DefinedLimit(limit, bucket, Optional.of(controller), 0),
        RATE_LOAN_LIFETIME_NANOSECONDS);
    applySlots(nowNanoseconds);
  }

  /**
   * Defines or changes a limit on concurrency.
   *
   * @param permits requests that may run at the same time
   * @param loanNanoseconds lifetime of loans, longer than the deadline of any request
   */
  public void defineConcurrency(
      String limitName, int permits, long loanNanoseconds, long nowNanoseconds) {
    DefinedLimit existing = currentOrRetired(limitName);
    Allowance limit = new Allowance(0, permits);
    if (limits.containsKey(limitName) && existing != null && existing.limit().equals(limit)) {
      return;
    }
    LendableSlice slice =
        existing != null && existing.slice() instanceof ConcurrencyPermits kept
            ? kept
            : new ConcurrencyPermits();
    putLimit(
        limitName,
        new DefinedLimit(limit, slice, Optional.empty(), loanNanoseconds),
        loanNanoseconds);
    applySlots(nowNanoseconds);
  }

  /**
   * Drops the limits that are not among the given names. Their slices are kept for a while, so that
   * a limit that is dropped and defined again does not spend what it has lent.
   */
  public void retain(List<String> limitNames, long nowNanoseconds) {
    retired.values().removeIf(old -> nowNanoseconds >= old.forgetNanoseconds());
    for (String name : List.copyOf(limits.keySet())) {
      if (!limitNames.contains(name)) {
        DefinedLimit dropped = limits.remove(name);
        dropped.admissionController().ifPresent(AdmissionController::close);
        broker.remove(name);
        retired.put(
            name, new RetiredLimit(dropped, nowNanoseconds + RETIRED_LIMIT_RETENTION_NANOSECONDS));
      }
    }
  }

  private @Nullable DefinedLimit currentOrRetired(String limitName) {
    DefinedLimit current = limits.get(limitName);
    if (current != null) {
      return current;
    }
    RetiredLimit old = retired.remove(limitName);
    return old == null ? null : old.definition();
  }

  /** Returns the gate of a limit on a rate. */
  public Optional<AdmissionController> admissionController(String limitName) {
    DefinedLimit limited = limits.get(limitName);
    return limited == null ? Optional.empty() : limited.admissionController();
  }

  /** Returns the permits of a limit on concurrency. */
  public Optional<ConcurrencyPermits> permits(String limitName) {
    DefinedLimit limited = limits.get(limitName);
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
    int zoneMembers = 1 + (int) peers.stream().filter(Lender::sameZone).count();
    List<SlotAction> slotActions = member.tick(zoneMembers, nowNanoseconds);
    applySlotsIfDue(nowNanoseconds);
    if (!peers.equals(lenders)) {
      lenders = List.copyOf(peers);
      limits.keySet().forEach(name -> broker.setLenders(name, lenders));
    }
    processQueues(nowNanoseconds);
    return new Actions(broker.tick(nowNanoseconds, random), slotActions);
  }

  /** Handles a message about a loan. */
  public Actions receive(String sender, LoanMessage message, long nowNanoseconds) {
    List<AddressedMessage<LoanMessage>> answers = broker.receive(sender, message, nowNanoseconds);
    admissionController(message.limit())
        .ifPresent(controller -> controller.processQueue(nowNanoseconds));
    return new Actions(answers, List.of());
  }

  /** Handles a message about slots. */
  public Actions receive(SlotMessage message, long nowNanoseconds) {
    List<SlotAction> actions = member.receive(message, nowNanoseconds);
    applySlotsIfDue(nowNanoseconds);
    return new Actions(List.of(), actions);
  }

  /** Takes the register as read or written by this instance. */
  public void registerStored(CellView stored, long nowNanoseconds) {
    member.registerStored(stored, nowNanoseconds);
    applySlots(nowNanoseconds);
  }

  /** Begins a planned stop: loans go back and slots are given up. */
  public Actions leave(long nowNanoseconds) {
    member.leave(nowNanoseconds);
    applySlots(nowNanoseconds);
    return new Actions(new ArrayList<>(broker.returnAllLoans(nowNanoseconds)), List.of());
  }

  private void putLimit(String limitName, DefinedLimit limited, long loanNanoseconds) {
    limits.put(limitName, limited);
    broker.define(
        limitName, limited.slice(), layout.typicalSlice(limited.limit()), loanNanoseconds);
  }

  private void processQueues(long nowNanoseconds) {
    for (DefinedLimit limited : limits.values()) {
      if (limited.admissionController().isPresent()) {
        AdmissionController controller = limited.admissionController().get();
        controller.setHeldRate(controller.bucket().heldAllowance(nowNanoseconds).rate());
        controller.processQueue(nowNanoseconds);
      }
    }
  }

  /** What grows may wait a little; what shrinks takes effect at once. */
  private void applySlotsIfDue(long nowNanoseconds) {
    boolean due = nowNanoseconds - lastAppliedNanoseconds >= APPLY_PERIOD_NANOSECONDS;
    boolean slotsChanged = !member.slots().equals(appliedSlots);
    if (due
        || slotsChanged
        || member.validUntilNanoseconds(nowNanoseconds) < appliedValidUntilNanoseconds) {
      applySlots(nowNanoseconds);
    }
  }

  /** Gives each slice what the slots held call for, as long as the instance is sure of them. */
  private void applySlots(long nowNanoseconds) {
    long validUntil = member.validUntilNanoseconds(nowNanoseconds);
    lastAppliedNanoseconds = nowNanoseconds;
    appliedSlots = member.slots();
    appliedValidUntilNanoseconds = validUntil;
    boolean settled = nowNanoseconds >= settlingEndNanoseconds;
    limits.forEach(
        (name, limited) -> {
          List<Integer> usable = member.settledSlots(limited.settlingNanoseconds(), nowNanoseconds);
          Allowance target = ownAllowance(layout, name, limited.limit(), usable);
          Allowance previous =
              settled ? target : ownAllowance(previousLayout, name, limited.limit(), usable);
          limited.slice().setOwnAllowance(target.limitedTo(previous), nowNanoseconds);
          limited.slice().renewOwnAllowance(validUntil, nowNanoseconds);
        });
  }

  private Allowance ownAllowance(
      SlotLayout inLayout, String name, Allowance limit, List<Integer> slots) {
    Allowance sum = Allowance.NONE;
    for (int slot : slots) {
      sum = sum.plus(inLayout.slice(name, limit, zone, slot));
    }
    return sum;
  }
}
