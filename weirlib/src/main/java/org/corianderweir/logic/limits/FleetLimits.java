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
 * All limits of one entry instance: the slots it holds, the slices that belong to these slots, and
 * the loans between instances. Programs use the package through this class.
 *
 * <p>All methods must be called by one thread, except {@link #admissionController} and {@link
 * #permits}, which any thread may call and whose results are thread-safe. Times are monotonic
 * nanoseconds of this process.
 */
public final class FleetLimits {
  /**
   * Time after a change of the slot layout during which no slice grows, so that every instance
   * learns of the change before any slice grows.
   */
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

  private record RetiredLimit(DefinedLimit definition, long removalNanoseconds) {}

  private record DefinedLimit(
      Allowance limit,
      LendableSlice slice,
      Optional<AdmissionController> admissionController,
      long settlingNanoseconds) {}

  /**
   * Messages to send and store operations to perform.
   *
   * @param loans messages about loans
   * @param slots messages about slots, and reads and writes of the register
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

  /**
   * Returns this instance's member of the cell, which knows the slots and receives the outcomes of
   * store operations.
   */
  public CellMember member() {
    return member;
  }

  /**
   * Changes the slot layout of the fleet. Slices shrink at once and grow after the settling time.
   */
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
        existing != null && existing.slice() instanceof SliceBucket existingBucket
            ? existingBucket
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
   * @param loanNanoseconds lifetime of loans, longer than the time to the deadline of any request
   */
  public void defineConcurrency(
      String limitName, int permits, long loanNanoseconds, long nowNanoseconds) {
    DefinedLimit existing = currentOrRetired(limitName);
    Allowance limit = new Allowance(0, permits);
    if (limits.containsKey(limitName) && existing != null && existing.limit().equals(limit)) {
      return;
    }
    LendableSlice slice =
        existing != null && existing.slice() instanceof ConcurrencyPermits existingPermits
            ? existingPermits
            : new ConcurrencyPermits();
    putLimit(
        limitName,
        new DefinedLimit(limit, slice, Optional.empty(), loanNanoseconds),
        loanNanoseconds);
    applySlots(nowNanoseconds);
  }

  /**
   * Removes the limits that are not among the given names. Their slices are kept for a while, so
   * that a limit that is removed and defined again does not spend what it has lent.
   */
  public void retain(List<String> limitNames, long nowNanoseconds) {
    retired.values().removeIf(retiredLimit -> nowNanoseconds >= retiredLimit.removalNanoseconds());
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
    RetiredLimit retiredLimit = retired.remove(limitName);
    return retiredLimit == null ? null : retiredLimit.definition();
  }

  /** Returns the admission controller of a limit on a rate; empty if there is no such limit. */
  public Optional<AdmissionController> admissionController(String limitName) {
    DefinedLimit definition = limits.get(limitName);
    return definition == null ? Optional.empty() : definition.admissionController();
  }

  /** Returns the permits of a limit on concurrency; empty if there is no such limit. */
  public Optional<ConcurrencyPermits> permits(String limitName) {
    DefinedLimit definition = limits.get(limitName);
    return definition != null && definition.slice() instanceof ConcurrencyPermits permits
        ? Optional.of(permits)
        : Optional.empty();
  }

  /**
   * Updates slots, loans and queued requests. Call it every few tens of milliseconds.
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
    List<AddressedMessage<LoanMessage>> responses = broker.receive(sender, message, nowNanoseconds);
    admissionController(message.limit())
        .ifPresent(controller -> controller.processQueue(nowNanoseconds));
    return new Actions(responses, List.of());
  }

  /** Handles a message about slots. */
  public Actions receive(SlotMessage message, long nowNanoseconds) {
    List<SlotAction> actions = member.receive(message, nowNanoseconds);
    applySlotsIfDue(nowNanoseconds);
    return new Actions(List.of(), actions);
  }

  /** Accepts the register as read or written by this instance. */
  public void registerStored(CellView stored, long nowNanoseconds) {
    member.registerStored(stored, nowNanoseconds);
    applySlots(nowNanoseconds);
  }

  /** Begins a planned stop: returns all borrowed loans and starts to release all slots. */
  public Actions leave(long nowNanoseconds) {
    member.leave(nowNanoseconds);
    applySlots(nowNanoseconds);
    return new Actions(new ArrayList<>(broker.returnAllLoans(nowNanoseconds)), List.of());
  }

  private void putLimit(String limitName, DefinedLimit definition, long loanNanoseconds) {
    limits.put(limitName, definition);
    broker.define(
        limitName, definition.slice(), layout.typicalSlice(definition.limit()), loanNanoseconds);
  }

  private void processQueues(long nowNanoseconds) {
    for (DefinedLimit definition : limits.values()) {
      if (definition.admissionController().isPresent()) {
        AdmissionController controller = definition.admissionController().get();
        controller.setHeldRate(controller.bucket().heldAllowance(nowNanoseconds).rate());
        controller.processQueue(nowNanoseconds);
      }
    }
  }

  /**
   * Applies the slots periodically, and at once if they changed or their validity was shortened.
   */
  private void applySlotsIfDue(long nowNanoseconds) {
    boolean due = nowNanoseconds - lastAppliedNanoseconds >= APPLY_PERIOD_NANOSECONDS;
    boolean slotsChanged = !member.slots().equals(appliedSlots);
    if (due
        || slotsChanged
        || member.validUntilNanoseconds(nowNanoseconds) < appliedValidUntilNanoseconds) {
      applySlots(nowNanoseconds);
    }
  }

  /**
   * Sets the own allowance of each limit to the sum of the slices of the held slots, valid for as
   * long as the slots are confirmed.
   */
  private void applySlots(long nowNanoseconds) {
    long validUntil = member.validUntilNanoseconds(nowNanoseconds);
    lastAppliedNanoseconds = nowNanoseconds;
    appliedSlots = member.slots();
    appliedValidUntilNanoseconds = validUntil;
    boolean settled = nowNanoseconds >= settlingEndNanoseconds;
    limits.forEach(
        (name, definition) -> {
          List<Integer> settledSlots =
              member.settledSlots(definition.settlingNanoseconds(), nowNanoseconds);
          Allowance target = ownAllowance(layout, name, definition.limit(), settledSlots);
          Allowance previous =
              settled
                  ? target
                  : ownAllowance(previousLayout, name, definition.limit(), settledSlots);
          definition.slice().setOwnAllowance(target.limitedTo(previous), nowNanoseconds);
          definition.slice().renewOwnAllowance(validUntil, nowNanoseconds);
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
