package org.corianderweir.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.corianderweir.logic.limits.AddressedMessage;
import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.FleetLimits;
import org.corianderweir.logic.limits.FleetShape;
import org.corianderweir.logic.limits.Lender;
import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.slots.CellRegister;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotAction;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.protocol.LimitMessage;
import org.corianderweir.protocol.PeerMessageCodec;

/** Slices and loans, with slots, store and messages as in the daemon. */
final class LoanAdmitter implements Admitter {
  private static final String LIMIT = "organisation/demand";
  private static final int SLOTS = Deployment.INSTANCES / Deployment.ZONES;
  private static final long STORE_NANOSECONDS = 4 * SimulatedTime.MILLISECOND;

  private final Experiment experiment;
  private final SplittableRandom random;
  private final List<SlotHolder> holders = new ArrayList<>();
  private final List<FleetLimits> instances = new ArrayList<>();
  private final Map<Integer, CellView> store = new HashMap<>();
  private long messages;
  private long bytes;

  LoanAdmitter(Experiment experiment, SplittableRandom random) {
    this.experiment = experiment;
    this.random = random;
    FleetShape shape =
        new FleetShape(
            IntStream.range(0, Deployment.ZONES).mapToObj(LoanAdmitter::zoneName).toList(), SLOTS);
    for (int instance = 0; instance < Deployment.INSTANCES; instance++) {
      SlotHolder holder = new SlotHolder("entry-" + instance, "127.1.1." + instance, 1, 1);
      holders.add(holder);
      FleetLimits limits = new FleetLimits(holder, zoneName(Deployment.zone(instance)), shape, 0);
      limits.defineRate(LIMIT, experiment.limit(), 0);
      instances.add(limits);
      int index = instance;
      experiment.time().after(random.nextLong(Experiment.TICK), () -> tick(index));
    }
  }

  @Override
  public void request(int instance, boolean measured) {
    AdmissionGate gate = instances.get(instance).gate(LIMIT).orElseThrow();
    experiment.through(gate, 0, measured, () -> look(instance));
  }

  /** Returns the messages sent by all instances so far. */
  long messages() {
    return messages;
  }

  /** Returns the bytes of these messages, with the length of the frame. */
  long bytes() {
    return bytes;
  }

  private static String zoneName(int zone) {
    return "zone-" + zone;
  }

  private void tick(int instance) {
    if (experiment.pattern().alive(instance, experiment.time().now())) {
      look(instance);
      experiment.time().after(Experiment.TICK, () -> tick(instance));
    }
  }

  private void look(int instance) {
    long now = experiment.time().now();
    List<Lender> peers =
        IntStream.range(0, Deployment.INSTANCES)
            .filter(other -> other != instance)
            .filter(other -> experiment.pattern().alive(other, now - 3 * SimulatedTime.SECOND))
            .mapToObj(
                other ->
                    new Lender(
                        "entry-" + other, Deployment.zone(other) == Deployment.zone(instance)))
            .toList();
    perform(instance, instances.get(instance).tick(peers, now, random));
  }

  private void perform(int from, FleetLimits.Actions actions) {
    for (AddressedMessage<LoanMessage> loan : actions.loans()) {
      int to = Integer.parseInt(loan.target().substring("entry-".length()));
      count(new LimitMessage.Loan(loan.message()));
      transmit(
          from,
          to,
          () ->
              perform(
                  to,
                  instances
                      .get(to)
                      .receive("entry-" + from, loan.message(), experiment.time().now())));
    }
    actions.slots().forEach(action -> perform(from, action));
  }

  private void perform(int from, SlotAction action) {
    switch (action) {
      case SlotAction.Send send -> {
        int to = holders.indexOf(send.target());
        count(new LimitMessage.Slot(send.message()));
        transmit(
            from,
            to,
            () -> perform(to, instances.get(to).receive(send.message(), experiment.time().now())));
      }
      case SlotAction.ReadRegister read ->
          experiment
              .time()
              .after(
                  STORE_NANOSECONDS,
                  () -> instances.get(from).registerStored(stored(from), experiment.time().now()));
      case SlotAction.WriteRegister write ->
          experiment.time().after(STORE_NANOSECONDS, () -> write(from, write));
    }
  }

  private CellView stored(int instance) {
    return store.getOrDefault(Deployment.zone(instance), new CellView(0, CellRegister.free(SLOTS)));
  }

  private void write(int instance, SlotAction.WriteRegister write) {
    CellView current = stored(instance);
    if (current.version() != write.expectedVersion()) {
      instances.get(instance).member().registerConflict();
      return;
    }
    CellView written = new CellView(current.version() + 1, write.register());
    store.put(Deployment.zone(instance), written);
    instances.get(instance).registerStored(written, experiment.time().now());
  }

  private void transmit(int from, int to, Runnable delivery) {
    long now = experiment.time().now();
    if (to >= 0 && experiment.pattern().connected(from, to, now)) {
      experiment
          .time()
          .after(
              experiment.deployment().latencyNanoseconds(from, to),
              () -> {
                if (experiment.pattern().alive(to, experiment.time().now())) {
                  delivery.run();
                }
              });
    }
  }

  private void count(LimitMessage message) {
    messages++;
    bytes += PeerMessageCodec.encode(message).length + Integer.BYTES;
  }
}
