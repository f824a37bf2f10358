package org.corianderweir.logic.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.corianderweir.logic.limits.slots.CellRegister;
import org.corianderweir.logic.limits.slots.CellView;
import org.corianderweir.logic.limits.slots.SlotAction;
import org.corianderweir.logic.limits.slots.SlotMessage;

/**
 * A generated history of a small fleet under faults: lost, delayed, duplicated and reordered
 * messages, network partitions, paused processes, restarts, replaced instances, clock drift, and a
 * store that fails or loses responses. The limit is checked after every event.
 */
final class LimitHistory {
  private static final long MILLISECOND_NANOSECONDS = 1_000_000L;
  private static final long SECOND_NANOSECONDS = 1_000 * MILLISECOND_NANOSECONDS;
  private static final long TICK_PERIOD_NANOSECONDS = 50 * MILLISECOND_NANOSECONDS;
  private static final int ZONE_COUNT = 3;
  private static final int SLOTS_PER_ZONE = 3;
  private static final long[] FAULT_PERIODS_NANOSECONDS = {
    SECOND_NANOSECONDS, 4 * SECOND_NANOSECONDS, 15 * SECOND_NANOSECONDS
  };
  private static final long PHASE_NANOSECONDS = 4 * SECOND_NANOSECONDS;
  private static final double OFFERED_LOAD_RATIO = 3;

  private final SplittableRandom random;
  private final BrokenVariant variant;
  private final Allowance limit;
  private final boolean faults;
  private final long faultPeriodNanoseconds;
  private final WindowChecker checker;
  private final List<HistoryInstance> instances = new ArrayList<>();
  private final Map<String, CellView> store = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeNanoseconds).thenComparingLong(Event::order));
  private final int[] partitions;
  private long nowNanoseconds;
  private long nextOrder;
  private boolean storeDown;
  private int hotIndex;
  private long nextIncarnation = 1;

  private record Event(long timeNanoseconds, long order, Runnable action) {}

  LimitHistory(long seed, BrokenVariant variant, Allowance limit, boolean faults) {
    this.random = new SplittableRandom(seed);
    this.variant = variant;
    this.limit = limit;
    this.faults = faults;
    this.faultPeriodNanoseconds =
        FAULT_PERIODS_NANOSECONDS[(int) (seed % FAULT_PERIODS_NANOSECONDS.length)];
    this.checker = new WindowChecker(limit);
    this.partitions = new int[ZONE_COUNT * SLOTS_PER_ZONE];
    SlotLayout layout = new SlotLayout(List.of("zone-0", "zone-1", "zone-2"), SLOTS_PER_ZONE);
    for (int index = 0; index < ZONE_COUNT * SLOTS_PER_ZONE; index++) {
      double speed = 1 + (random.nextDouble() - 0.5) * LimitTiming.MAXIMUM_CLOCK_DRIFT_RATIO;
      HistoryInstance instance =
          new HistoryInstance(
              index,
              "zone-" + index % ZONE_COUNT,
              speed,
              random.nextLong(SECOND_NANOSECONDS),
              layout,
              limit);
      instance.start("entry-" + index, nextIncarnation++, 0);
      instances.add(instance);
      tick(instance);
    }
  }

  /** Runs the history until the given time or the first excess. */
  WindowChecker run(int seconds) {
    generateLoad();
    if (faults) {
      injectFault();
    }
    while (nowNanoseconds < seconds * SECOND_NANOSECONDS && checker.isWithinLimit()) {
      Event event = events.remove();
      nowNanoseconds = event.timeNanoseconds();
      event.action().run();
      checkHoldings();
    }
    return checker;
  }

  /**
   * Checks that what all instances together could spend from now on is within the limit, whether
   * they spend it or not.
   */
  private void checkHoldings() {
    Allowance held = Allowance.NONE;
    double tokens = 0;
    for (HistoryInstance instance : instances) {
      long clock = instance.localNanoseconds(nowNanoseconds);
      held = held.plus(instance.bucket().heldAllowance(clock));
      tokens += instance.bucket().available(clock);
    }
    checker.checkHoldings(held, tokens, nowNanoseconds);
  }

  /** Returns how many slots of all cells have a running holder whose slots are confirmed. */
  int confirmedSlotCount() {
    int used = 0;
    for (HistoryInstance instance : instances) {
      long clock = instance.localNanoseconds(nowNanoseconds);
      boolean confirmed = instance.limits.member().validUntilNanoseconds(clock) > clock;
      used += confirmed && !instance.paused ? instance.limits.member().slots().size() : 0;
    }
    return used;
  }

  private void schedule(long delay, Runnable action) {
    events.add(new Event(nowNanoseconds + delay, nextOrder++, action));
  }

  /**
   * Runs work on an instance; while the instance is paused, the work is queued until it resumes.
   */
  private void runOn(HistoryInstance instance, Runnable work) {
    if (instance.paused) {
      instance.inbox.add(work);
    } else {
      work.run();
    }
  }

  /** Generates more load than the limit, with quiet phases in which all buckets fill up. */
  private void generateLoad() {
    double perSecond = limit.rate() * OFFERED_LOAD_RATIO;
    schedule(
        (long) (SECOND_NANOSECONDS * -Math.log(1 - random.nextDouble()) / perSecond),
        this::generateLoad);
    boolean quietPhase = faults && nowNanoseconds / PHASE_NANOSECONDS % 2 == 1;
    if (quietPhase) {
      return;
    }
    boolean hot = random.nextInt(2) == 0;
    HistoryInstance instance = instances.get(hot ? hotIndex : random.nextInt(instances.size()));
    runOn(instance, () -> request(instance));
  }

  private void request(HistoryInstance instance) {
    if (instance.bucket().tryConsume(1, instance.localNanoseconds(nowNanoseconds))) {
      checker.recordAdmission(nowNanoseconds);
    }
  }

  private void tick(HistoryInstance instance) {
    schedule(
        TICK_PERIOD_NANOSECONDS + random.nextLong(MILLISECOND_NANOSECONDS), () -> tick(instance));
    if (instance.paused) {
      return;
    }
    long clock = instance.localNanoseconds(nowNanoseconds);
    List<Lender> peers =
        instances.stream()
            .filter(other -> other != instance)
            .map(other -> new Lender(other.self.instance(), other.zone.equals(instance.zone)))
            .toList();
    perform(instance, instance.limits.tick(peers, clock, random));
    slotsChanged(instance);
  }

  private void slotsChanged(HistoryInstance instance) {
    long clock = instance.localNanoseconds(nowNanoseconds);
    boolean confirmed = instance.limits.member().validUntilNanoseconds(clock) > clock;
    boolean holds = confirmed && !instance.limits.member().slots().isEmpty();
    variant.afterSlots(instance.bucket(), holds && !instance.hadSlots, limit, clock);
    instance.hadSlots = holds;
  }

  private void perform(HistoryInstance from, FleetLimits.Actions actions) {
    for (AddressedMessage<LoanMessage> message : actions.loans()) {
      variant.afterSending(from.bucket(), message.message(), from.localNanoseconds(nowNanoseconds));
      for (HistoryInstance to : instances) {
        if (to.self.instance().equals(message.target())) {
          transmit(from, to, () -> receive(from.self.instance(), to, message.message()));
        }
      }
    }
    for (SlotAction action : actions.slots()) {
      switch (action) {
        case SlotAction.Send send -> {
          for (HistoryInstance to : instances) {
            if (to.self.equals(send.target())) {
              transmit(from, to, () -> receive(to, send.message()));
            }
          }
        }
        case SlotAction.ReadRegister read -> accessStore(from, -1, null);
        case SlotAction.WriteRegister write ->
            accessStore(from, write.expectedVersion(), write.register());
      }
    }
  }

  private void transmit(HistoryInstance from, HistoryInstance to, Runnable delivery) {
    int copies = faults && random.nextInt(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      boolean lost = faults && random.nextInt(20) == 0;
      long delay = MILLISECOND_NANOSECONDS / 2 + random.nextLong(MILLISECOND_NANOSECONDS);
      if (faults && random.nextInt(15) == 0) {
        delay += random.nextLong(4 * SECOND_NANOSECONDS);
      }
      if (!lost && partitions[from.index] == partitions[to.index]) {
        FleetLimits run = to.limits;
        schedule(delay, () -> runOn(to, () -> ifSameIncarnation(to, run, delivery)));
      }
    }
  }

  private static void ifSameIncarnation(HistoryInstance to, FleetLimits run, Runnable delivery) {
    if (to.limits == run) {
      delivery.run();
    }
  }

  private void receive(String sender, HistoryInstance to, LoanMessage message) {
    perform(to, to.limits.receive(sender, message, to.localNanoseconds(nowNanoseconds)));
    variant.afterReceiving(to.bucket(), message, to.localNanoseconds(nowNanoseconds));
  }

  private void receive(HistoryInstance to, SlotMessage message) {
    perform(to, to.limits.receive(message, to.localNanoseconds(nowNanoseconds)));
    slotsChanged(to);
  }

  /**
   * Reads the register, or writes it if one is given. The response may be lost after the write took
   * effect.
   */
  private void accessStore(HistoryInstance caller, long expected, CellRegister register) {
    FleetLimits run = caller.limits;
    boolean unreachable = storeDown || partitions[caller.index] != 0;
    schedule(
        MILLISECOND_NANOSECONDS + random.nextLong(20 * MILLISECOND_NANOSECONDS),
        () -> {
          CellView current =
              store.getOrDefault(caller.zone, new CellView(0, CellRegister.free(SLOTS_PER_ZONE)));
          boolean conflict = register != null && current.version() != expected;
          if (register != null && !unreachable && !conflict) {
            store.put(caller.zone, new CellView(current.version() + 1, register));
          }
          CellView stored = store.getOrDefault(caller.zone, current);
          boolean lost = unreachable || (faults && random.nextInt(10) == 0);
          Runnable failure =
              lost
                  ? () -> caller.limits.member().storeFailed()
                  : () -> caller.limits.member().registerConflict();
          Runnable response =
              lost || conflict
                  ? failure
                  : () ->
                      caller.limits.registerStored(stored, caller.localNanoseconds(nowNanoseconds));
          schedule(
              MILLISECOND_NANOSECONDS,
              () -> runOn(caller, () -> ifSameIncarnation(caller, run, response)));
        });
  }

  private void injectFault() {
    schedule(random.nextLong(2 * faultPeriodNanoseconds), this::injectFault);
    int index = random.nextInt(instances.size());
    HistoryInstance instance = instances.get(index);
    switch (random.nextInt(8)) {
      case 0, 1 -> pause(instance);
      case 2 -> instance.start(instance.self.instance(), nextIncarnation++, nowNanoseconds);
      case 3 -> instance.start("new-" + nextIncarnation, nextIncarnation++, nowNanoseconds);
      case 4 -> partitionInstances(index, index + 1);
      case 5 -> partitionZone(random.nextInt(ZONE_COUNT));
      case 6 -> storeOutage();
      default -> hotIndex = index;
    }
  }

  private void pause(HistoryInstance instance) {
    FleetLimits run = instance.limits;
    instance.paused = true;
    schedule(
        random.nextLong(15 * SECOND_NANOSECONDS),
        () -> ifSameIncarnation(instance, run, () -> resume(instance)));
  }

  private void resume(HistoryInstance instance) {
    instance.paused = false;
    List<Runnable> waiting = new ArrayList<>(instance.inbox);
    instance.inbox.clear();
    waiting.forEach(Runnable::run);
  }

  private void partitionInstances(int first, int end) {
    for (int index = first; index < end; index++) {
      int partitionedIndex = index;
      partitions[partitionedIndex] = 1 + random.nextInt(2);
      schedule(random.nextLong(20 * SECOND_NANOSECONDS), () -> partitions[partitionedIndex] = 0);
    }
  }

  private void partitionZone(int zone) {
    long duration = random.nextLong(20 * SECOND_NANOSECONDS);
    for (int index = zone; index < partitions.length; index += ZONE_COUNT) {
      int partitionedIndex = index;
      partitions[partitionedIndex] = 3;
      schedule(duration, () -> partitions[partitionedIndex] = 0);
    }
  }

  private void storeOutage() {
    storeDown = true;
    schedule(random.nextLong(10 * SECOND_NANOSECONDS), () -> storeDown = false);
  }
}
