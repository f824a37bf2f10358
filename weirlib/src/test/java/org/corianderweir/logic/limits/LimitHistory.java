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
 * A generated history of a small fleet under faults: messages that are lost, late, repeated and out
 * of order, cuts, pauses, restarts, replacements, clocks that differ, a store that fails and loses
 * answers. The limit is checked after every admission.
 */
final class LimitHistory {
  private static final long MILLISECOND = 1_000_000L;
  private static final long SECOND = 1_000 * MILLISECOND;
  private static final long TICK = 50 * MILLISECOND;
  private static final int ZONES = 3;
  private static final int SLOTS = 3;
  private static final long[] FAULT_PERIODS = {SECOND, 4 * SECOND, 15 * SECOND};
  private static final long PHASE = 4 * SECOND;
  private static final double OFFERED_FACTOR = 3;

  private final SplittableRandom random;
  private final BrokenVariant variant;
  private final Allowance limit;
  private final boolean faults;
  private final long faultPeriod;
  private final WindowChecker checker;
  private final List<HistoryInstance> instances = new ArrayList<>();
  private final Map<String, CellView> store = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final int[] group;
  private long now;
  private long order;
  private boolean storeDown;
  private int hotPlace;
  private long incarnations = 1;

  private record Event(long at, long order, Runnable action) {}

  LimitHistory(long seed, BrokenVariant variant, Allowance limit, boolean faults) {
    this.random = new SplittableRandom(seed);
    this.variant = variant;
    this.limit = limit;
    this.faults = faults;
    this.faultPeriod = FAULT_PERIODS[(int) (seed % FAULT_PERIODS.length)];
    this.checker = new WindowChecker(limit);
    this.group = new int[ZONES * SLOTS];
    FleetShape shape = new FleetShape(List.of("zone-0", "zone-1", "zone-2"), SLOTS);
    for (int place = 0; place < ZONES * SLOTS; place++) {
      double speed = 1 + (random.nextDouble() - 0.5) * LimitTiming.CLOCK_DRIFT;
      HistoryInstance instance =
          new HistoryInstance(
              place, "zone-" + place % ZONES, speed, random.nextLong(SECOND), shape, limit);
      instance.start("entry-" + place, incarnations++, 0);
      instances.add(instance);
      tick(instance);
    }
  }

  /** Runs the history until the given time or the first excess. */
  WindowChecker run(int seconds) {
    offer();
    if (faults) {
      fault();
    }
    while (now < seconds * SECOND && checker.holds()) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
      checkPotential();
    }
    return checker;
  }

  /** What all could spend from now on must fit the limit, whether they spend it or not. */
  private void checkPotential() {
    Allowance held = Allowance.NONE;
    double tokens = 0;
    for (HistoryInstance instance : instances) {
      long clock = instance.clock(now);
      held = held.plus(instance.bucket().held(clock));
      tokens += instance.bucket().available(clock);
    }
    checker.couldSpend(held, tokens, now);
  }

  /** Returns how many slots of all cells have a holder that is sure of them. */
  int slotsInUse() {
    int used = 0;
    for (HistoryInstance instance : instances) {
      long clock = instance.clock(now);
      boolean sure = instance.limits.member().validUntilNanoseconds(clock) > clock;
      used += sure && !instance.paused ? instance.limits.member().slots().size() : 0;
    }
    return used;
  }

  private void in(long delay, Runnable action) {
    events.add(new Event(now + delay, order++, action));
  }

  /** Hands work to an instance; what comes while it pauses waits until it goes on. */
  private void at(HistoryInstance instance, Runnable work) {
    if (instance.paused) {
      instance.inbox.add(work);
    } else {
      work.run();
    }
  }

  /** Offers more than the limit, with quiet phases in which all buckets fill up. */
  private void offer() {
    double perSecond = limit.rate() * OFFERED_FACTOR;
    in((long) (SECOND * -Math.log(1 - random.nextDouble()) / perSecond), this::offer);
    boolean quietPhase = faults && now / PHASE % 2 == 1;
    if (quietPhase) {
      return;
    }
    boolean hot = random.nextInt(2) == 0;
    HistoryInstance instance = instances.get(hot ? hotPlace : random.nextInt(instances.size()));
    at(instance, () -> request(instance));
  }

  private void request(HistoryInstance instance) {
    if (instance.bucket().tryTake(1, instance.clock(now))) {
      checker.admitted(now);
    }
  }

  private void tick(HistoryInstance instance) {
    in(TICK + random.nextLong(MILLISECOND), () -> tick(instance));
    if (instance.paused) {
      return;
    }
    long clock = instance.clock(now);
    List<Lender> peers =
        instances.stream()
            .filter(other -> other != instance)
            .map(other -> new Lender(other.self.instance(), other.zone.equals(instance.zone)))
            .toList();
    perform(instance, instance.limits.tick(peers, clock, random));
    slotsChanged(instance);
  }

  private void slotsChanged(HistoryInstance instance) {
    long clock = instance.clock(now);
    boolean sure = instance.limits.member().validUntilNanoseconds(clock) > clock;
    boolean holds = sure && !instance.limits.member().slots().isEmpty();
    variant.afterSlots(instance.bucket(), holds && !instance.held, limit, clock);
    instance.held = holds;
  }

  private void perform(HistoryInstance from, FleetLimits.Actions actions) {
    for (AddressedMessage<LoanMessage> message : actions.loans()) {
      variant.afterSending(from.bucket(), message.message(), from.clock(now));
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
        case SlotAction.ReadRegister read -> callStore(from, -1, null);
        case SlotAction.WriteRegister write ->
            callStore(from, write.expectedVersion(), write.register());
      }
    }
  }

  private void transmit(HistoryInstance from, HistoryInstance to, Runnable delivery) {
    int copies = faults && random.nextInt(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      boolean lost = faults && random.nextInt(20) == 0;
      long delay = MILLISECOND / 2 + random.nextLong(MILLISECOND);
      if (faults && random.nextInt(15) == 0) {
        delay += random.nextLong(4 * SECOND);
      }
      if (!lost && group[from.place] == group[to.place]) {
        FleetLimits run = to.limits;
        in(delay, () -> at(to, () -> ifSameRun(to, run, delivery)));
      }
    }
  }

  private static void ifSameRun(HistoryInstance to, FleetLimits run, Runnable delivery) {
    if (to.limits == run) {
      delivery.run();
    }
  }

  private void receive(String sender, HistoryInstance to, LoanMessage message) {
    perform(to, to.limits.receive(sender, message, to.clock(now)));
    variant.afterReceiving(to.bucket(), message, to.clock(now));
  }

  private void receive(HistoryInstance to, SlotMessage message) {
    perform(to, to.limits.receive(message, to.clock(now)));
    slotsChanged(to);
  }

  /** Reads, or writes if a register is given; the answer may be lost after the write. */
  private void callStore(HistoryInstance caller, long expected, CellRegister register) {
    FleetLimits run = caller.limits;
    boolean unreachable = storeDown || group[caller.place] != 0;
    in(
        MILLISECOND + random.nextLong(20 * MILLISECOND),
        () -> {
          CellView current =
              store.getOrDefault(caller.zone, new CellView(0, CellRegister.free(SLOTS)));
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
          Runnable answer =
              lost || conflict
                  ? failure
                  : () -> caller.limits.registerStored(stored, caller.clock(now));
          in(MILLISECOND, () -> at(caller, () -> ifSameRun(caller, run, answer)));
        });
  }

  private void fault() {
    in(random.nextLong(2 * faultPeriod), this::fault);
    int place = random.nextInt(instances.size());
    HistoryInstance instance = instances.get(place);
    switch (random.nextInt(8)) {
      case 0, 1 -> pause(instance);
      case 2 -> instance.start(instance.self.instance(), incarnations++, now);
      case 3 -> instance.start("new-" + incarnations, incarnations++, now);
      case 4 -> cut(place, place + 1);
      case 5 -> cutZone(random.nextInt(ZONES));
      case 6 -> storeOutage();
      default -> hotPlace = place;
    }
  }

  private void pause(HistoryInstance instance) {
    FleetLimits run = instance.limits;
    instance.paused = true;
    in(random.nextLong(15 * SECOND), () -> ifSameRun(instance, run, () -> resume(instance)));
  }

  private void resume(HistoryInstance instance) {
    instance.paused = false;
    List<Runnable> waiting = new ArrayList<>(instance.inbox);
    instance.inbox.clear();
    waiting.forEach(Runnable::run);
  }

  private void cut(int first, int end) {
    for (int place = first; place < end; place++) {
      int cutPlace = place;
      group[cutPlace] = 1 + random.nextInt(2);
      in(random.nextLong(20 * SECOND), () -> group[cutPlace] = 0);
    }
  }

  private void cutZone(int zone) {
    long duration = random.nextLong(20 * SECOND);
    for (int place = zone; place < group.length; place += ZONES) {
      int cutPlace = place;
      group[cutPlace] = 3;
      in(duration, () -> group[cutPlace] = 0);
    }
  }

  private void storeOutage() {
    storeDown = true;
    in(random.nextLong(10 * SECOND), () -> storeDown = false);
  }
}
