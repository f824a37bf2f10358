package org.corianderweir.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.limits.FleetLimits;
import org.corianderweir.logic.limits.slots.CellRegister;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotAction;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.LimitMessage;
import org.jspecify.annotations.Nullable;

/**
 * Executes the actions of {@link FleetLimits}: sends loan and slot messages to other entry
 * instances and reads and writes the slot register of the availability zone in the platform
 * service. Used by the control thread only.
 */
final class LimitActionExecutor {
  private static final String REGISTER_KEY_PREFIX = "limits/";

  private final EntryInstance self;
  private final PlatformService platform;
  private final ControlExecutor controlExecutor;
  private final EventLog events;
  private final PeerTransport transport;
  private final FleetLimits limits;
  private final TimeSource time;
  private List<Member> members = List.of();
  private Map<String, EntryInstance> instancesByName = Map.of();
  private List<Integer> reportedSlots = List.of();
  private boolean reportedConfirmed = true;

  LimitActionExecutor(
      EntryInstance self,
      PlatformService platform,
      ControlExecutor controlExecutor,
      EventLog events,
      PeerTransport transport,
      FleetLimits limits,
      TimeSource time) {
    this.self = self;
    this.platform = platform;
    this.controlExecutor = controlExecutor;
    this.events = events;
    this.transport = transport;
    this.limits = limits;
    this.time = time;
  }

  /** Sets the live members, to which loan messages can be sent, and returns them. */
  List<Member> updateMembers(List<Member> current) {
    if (current != members) {
      members = current;
      Map<String, EntryInstance> updated = new HashMap<>();
      current.forEach(member -> updated.put(member.instance().name(), member.instance()));
      instancesByName = updated;
    }
    return current;
  }

  void perform(FleetLimits.Actions actions) {
    actions
        .loans()
        .forEach(
            loan -> {
              EntryInstance target = instancesByName.get(loan.target());
              if (target != null) {
                transport.send(target, new LimitMessage.Loan(loan.message()));
              }
            });
    actions.slots().forEach(this::execute);
    recordSlotEvents();
  }

  private void execute(SlotAction action) {
    switch (action) {
      case SlotAction.Send send ->
          transport.send(toEntryInstance(send.target()), new LimitMessage.Slot(send.message()));
      case SlotAction.ReadRegister read ->
          platform
              .read(REGISTER_KEY_PREFIX + self.availabilityZone())
              .whenComplete(
                  (stored, failure) ->
                      controlExecutor.execute(() -> onRegisterRead(stored, failure)));
      case SlotAction.WriteRegister write ->
          platform
              .compareAndSwap(
                  REGISTER_KEY_PREFIX + self.availabilityZone(),
                  write.expectedVersion(),
                  Json.write(write.register()))
              .whenComplete(
                  (result, failure) ->
                      controlExecutor.execute(
                          () -> onRegisterWritten(write.register(), result, failure)));
    }
  }

  /**
   * Returns the entry instance at the address of a slot holder, which need not be a live member.
   */
  private EntryInstance toEntryInstance(SlotHolder holder) {
    EntryInstance listed = instancesByName.get(holder.instance());
    boolean sameAddress =
        listed != null
            && listed.host().equals(holder.host())
            && listed.peerPort() == holder.peerPort();
    return listed != null && sameAddress
        ? listed
        : new EntryInstance(
            holder.instance(),
            self.region(),
            self.availabilityZone(),
            holder.host(),
            0,
            0,
            holder.peerPort());
  }

  private void onRegisterRead(Optional<StoredValue> stored, @Nullable Throwable failure) {
    if (failure != null) {
      limits.member().storeFailed();
      return;
    }
    CellView view =
        stored
            .map(
                value ->
                    new CellView(value.version(), Json.read(value.value(), CellRegister.class)))
            .orElseGet(() -> new CellView(0, CellRegister.free(LimitService.SLOTS_PER_ZONE)));
    limits.registerStored(view, time.monotonicNanoseconds());
    recordSlotEvents();
  }

  private void onRegisterWritten(
      CellRegister register, @Nullable WriteResult result, @Nullable Throwable failure) {
    if (failure != null || result == null) {
      limits.member().storeFailed();
      return;
    }
    switch (result) {
      case WriteResult.Written written ->
          limits.registerStored(
              new CellView(written.version(), register), time.monotonicNanoseconds());
      case WriteResult.Conflict conflict -> limits.member().registerConflict();
    }
    recordSlotEvents();
  }

  private void recordSlotEvents() {
    List<Integer> slots = limits.member().slots();
    if (!slots.equals(reportedSlots)) {
      reportedSlots = slots;
      events.record(EventCode.LIMIT_SLOTS_CHANGED, self.name(), "slots=" + slots);
    }
    long nowNanoseconds = time.monotonicNanoseconds();
    boolean confirmed =
        slots.isEmpty() || limits.member().validUntilNanoseconds(nowNanoseconds) > nowNanoseconds;
    if (confirmed != reportedConfirmed) {
      reportedConfirmed = confirmed;
      events.record(
          confirmed ? EventCode.LIMIT_SLOTS_CONFIRMED : EventCode.LIMIT_SLOTS_UNCONFIRMED,
          self.name(),
          "slots=" + slots);
    }
  }
}
