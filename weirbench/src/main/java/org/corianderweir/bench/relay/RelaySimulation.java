package org.corianderweir.bench.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.corianderweir.bench.simulation.EventScheduler;
import org.corianderweir.logic.platform.DecodedItem;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;

/**
 * Runs many entry instances against one store, with seeded changes and faults, and measures the
 * calls to the store and the time until each change is in force.
 */
public final class RelaySimulation {
  private static final int SERVER_COUNT = 40;
  private static final long START_SPREAD_NANOSECONDS = Duration.ofMillis(300).toNanos();
  private static final long REGISTRATION_DELAY_NANOSECONDS = Duration.ofMillis(600).toNanos();
  private static final long NEAR_STORE_NANOSECONDS = Duration.ofMillis(5).toNanos();
  private static final long FAR_STORE_NANOSECONDS = Duration.ofMillis(59).toNanos();
  private static final long LARGEST_LINK_DELAY_NANOSECONDS = Duration.ofMillis(3).toNanos();
  private static final long SHORTEST_FAULT_NANOSECONDS = Duration.ofMillis(300).toNanos();
  private static final long LONGEST_FAULT_NANOSECONDS = Duration.ofSeconds(6).toNanos();

  /** Time after which the lease of a member that is killed or paused has expired. */
  private static final long LEASE_NANOSECONDS = Duration.ofSeconds(4).toNanos();

  private static final long SECOND_NANOSECONDS = Duration.ofSeconds(1).toNanos();
  private static final long MINUTE_NANOSECONDS = Duration.ofMinutes(1).toNanos();
  private static final long RETRANSMISSION_NANOSECONDS = Duration.ofMillis(250).toNanos();
  private static final double LATE_MESSAGE_RATIO = 0.02;

  private final RelaySimulationOptions options;
  private final EventScheduler scheduler = new EventScheduler();
  private final SimulatedStore store = new SimulatedStore();
  private final SimulationSchema schema = new SimulationSchema();
  private final UniformRandomProvider random;
  private final Map<String, List<SimulatedInstance>> groups = new TreeMap<>();
  private final Map<String, Change> openChanges = new HashMap<>();
  private final List<String> backwards = new ArrayList<>();
  private final List<String> lateChanges = new ArrayList<>();
  private final List<Long> delaysNanoseconds = new ArrayList<>();
  private final Map<Long, Integer> callsBySecond = new TreeMap<>();
  private long messageCount;
  private long startNumber;

  private enum FaultKind {
    PAUSE,
    KILL,
    CUT_FROM_PEERS,
    REFUSED_BY_STORE,
    SILENT_STORE
  }

  /** A start of a server, and the names of the instances that use it. */
  private record Change(String server, long start, long nanoseconds, Set<String> inForceAt) {}

  /**
   * The result of a simulation.
   *
   * @param callCount calls to the store
   * @param largestCallsPerSecond largest number of calls in a second after the first five
   * @param messageCount messages between instances
   * @param delays times from each change until it was in force at each instance, sorted
   * @param backwards instances that used an older state after a newer one
   * @param lateChanges changes that were not in force in time at an instance in touch
   * @param unequal instances whose view differs from the store at the end
   * @param watcherCount instances that watch the store at the end
   */
  public record Result(
      long callCount,
      int largestCallsPerSecond,
      long messageCount,
      List<Duration> delays,
      List<String> backwards,
      List<String> lateChanges,
      List<String> unequal,
      long watcherCount) {
    /** Returns a quantile of the delays; zero if there was no change. */
    public Duration delayQuantile(double quantile) {
      return delays.isEmpty()
          ? Duration.ZERO
          : delays.get((int) Math.min(delays.size() - 1, quantile * delays.size()));
    }
  }

  /** Creates a simulation that has not run. */
  public RelaySimulation(RelaySimulationOptions options) {
    this.options = options;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed());
  }

  /**
   * Runs the simulation.
   *
   * @param bound time after which a change must be in force at an instance whose way to the store
   *     was sound
   */
  public Result run(Duration bound) {
    for (int server = 0; server < SERVER_COUNT; server++) {
      changeServer("server-" + server);
    }
    openChanges.clear();
    for (int group = 0; group < options.groupCount(); group++) {
      for (int number = 0; number < options.instancesPerGroup(); number++) {
        start("entry-" + group + "-" + number, "zone-" + group);
      }
    }
    long endNanoseconds = options.faultDuration().plus(options.calmDuration()).toNanos();
    scheduleChanges(endNanoseconds - bound.toNanos(), bound);
    scheduleFaults(bound);
    scheduler.runUntil(endNanoseconds);
    return result();
  }

  /** Kills all instances that watch the store at a time; they start again some seconds later. */
  void killWatchersAt(Duration time) {
    scheduleAt(
        time.toNanos(),
        () ->
            groups.values().stream()
                .flatMap(List::stream)
                .filter(SimulatedInstance::isWatching)
                .forEach(instance -> harm(instance, FaultKind.KILL, LONGEST_FAULT_NANOSECONDS)));
  }

  private void scheduleAt(long nanoseconds, Runnable task) {
    scheduler.schedule(Math.max(0, nanoseconds - scheduler.nowNanoseconds()), task);
  }

  EventScheduler scheduler() {
    return scheduler;
  }

  SimulatedStore store() {
    return store;
  }

  void countCall() {
    callsBySecond.merge(scheduler.nowNanoseconds() / SECOND_NANOSECONDS, 1, Integer::sum);
  }

  /** Returns the time of a message to the store; a third of the zones stand near it. */
  long storeDelayNanoseconds(SimulatedInstance instance) {
    return instance.member().zone().hashCode() % 3 == 0
        ? NEAR_STORE_NANOSECONDS
        : FAR_STORE_NANOSECONDS;
  }

  List<SimulatedInstance> others(SimulatedInstance instance) {
    return groups.getOrDefault(instance.member().zone(), List.of()).stream()
        .filter(other -> other != instance && other.isRunning())
        .toList();
  }

  void deliver(SimulatedInstance sender, SimulatedInstance recipient, StoreUpdate update) {
    send(sender, recipient, () -> recipient.receive(sender.member().name(), update));
  }

  void deliver(SimulatedInstance sender, SimulatedInstance recipient, StoreSnapshotPart part) {
    send(sender, recipient, () -> recipient.receive(sender.member().name(), part));
  }

  void deliverRequest(SimulatedInstance sender, SimulatedInstance recipient, long afterRevision) {
    send(sender, recipient, () -> recipient.receiveRequest(sender.member().name(), afterRevision));
  }

  private void send(SimulatedInstance sender, SimulatedInstance recipient, Runnable delivery) {
    messageCount++;
    boolean lost = random.nextDouble() < options.messageLossRatio();
    boolean late = options.faultsPerMinute() > 0 && random.nextDouble() < LATE_MESSAGE_RATIO;
    if (sender.isLinked() && recipient.isLinked() && !lost) {
      long limit = late ? RETRANSMISSION_NANOSECONDS : LARGEST_LINK_DELAY_NANOSECONDS;
      scheduler.schedule(1 + random.nextLong(limit), delivery);
    }
  }

  void reportBackwards(String description) {
    backwards.add(description + " at " + Duration.ofNanos(scheduler.nowNanoseconds()));
  }

  void viewChanged(SimulatedInstance instance) {
    openChanges.values().stream()
        .filter(change -> isInForce(instance, change))
        .filter(change -> instance.soundSinceNanoseconds() < change.nanoseconds())
        .filter(change -> change.inForceAt().add(instance.member().name()))
        .forEach(
            change -> delaysNanoseconds.add(scheduler.nowNanoseconds() - change.nanoseconds()));
  }

  private static boolean isInForce(SimulatedInstance instance, Change change) {
    ServerRegistration server = instance.servers().get(change.server());
    return server != null && server.startedMilliseconds() >= change.start();
  }

  private SimulatedInstance start(String name, String zone) {
    FleetMember member = SimulationSchema.member(name, zone);
    SimulatedInstance instance = new SimulatedInstance(this, member);
    List<SimulatedInstance> group = groups.computeIfAbsent(zone, unused -> new ArrayList<>());
    group.removeIf(former -> former.member().name().equals(name));
    group.add(instance);
    long delay = REGISTRATION_DELAY_NANOSECONDS + random.nextLong(START_SPREAD_NANOSECONDS);
    scheduler.schedule(delay, () -> register(instance));
    return instance;
  }

  private void register(SimulatedInstance instance) {
    if (instance.isRunning()) {
      String value = new String(schema.encode(instance.member()), StandardCharsets.UTF_8);
      store.put(schema.memberKey(instance.member()), value);
    }
  }

  private Change changeServer(String server) {
    startNumber++;
    Change change = new Change(server, startNumber, scheduler.nowNanoseconds(), new HashSet<>());
    openChanges.put(server, change);
    store.put(SimulationSchema.serverKey(server), Long.toString(startNumber));
    return change;
  }

  private void scheduleChanges(long endNanoseconds, Duration bound) {
    long mean = options.meanChangeInterval().toNanos();
    long next = Duration.ofSeconds(3).toNanos();
    while (next < endNanoseconds) {
      scheduleAt(next, () -> change(bound));
      next += 1 + random.nextLong(2 * mean);
    }
  }

  private void change(Duration bound) {
    String server = "server-" + random.nextInt(SERVER_COUNT);
    if (random.nextInt(4) == 0) {
      store.remove(SimulationSchema.serverKey(server));
      openChanges.remove(server);
      return;
    }
    Change change = changeServer(server);
    scheduler.schedule(bound.toNanos(), () -> check(change));
  }

  private void changeMany(Duration bound) {
    for (int number = 0; number < options.changesPerFault(); number++) {
      change(bound);
    }
  }

  /** Checks that a change is in force where the instance could have read it from the store. */
  private void check(Change change) {
    boolean replaced = openChanges.get(change.server()) != change;
    if (replaced) {
      return;
    }
    groups.values().stream()
        .flatMap(List::stream)
        .filter(instance -> instance.soundSinceNanoseconds() < change.nanoseconds())
        .filter(instance -> !isInForce(instance, change))
        .forEach(
            instance ->
                lateChanges.add(
                    "%s of %s at %s"
                        .formatted(
                            change.server(),
                            Duration.ofNanos(change.nanoseconds()),
                            instance.member().name())));
    openChanges.remove(change.server());
  }

  private void scheduleFaults(Duration bound) {
    if (options.faultsPerMinute() <= 0) {
      return;
    }
    long mean = (long) (MINUTE_NANOSECONDS / options.faultsPerMinute());
    long next = Duration.ofSeconds(2).toNanos();
    while (next < options.faultDuration().toNanos()) {
      scheduleAt(next, () -> injectFault(bound));
      next += 1 + random.nextLong(2 * mean);
    }
  }

  /** Harms the relay of a zone, some other instance, or all instances of a zone. */
  private void injectFault(Duration bound) {
    List<SimulatedInstance> group =
        new ArrayList<>(groups.values()).get(random.nextInt(groups.size()));
    List<SimulatedInstance> running = group.stream().filter(SimulatedInstance::isRunning).toList();
    if (running.isEmpty()) {
      return;
    }
    List<SimulatedInstance> watching =
        running.stream().filter(SimulatedInstance::isWatching).toList();
    List<SimulatedInstance> harmed =
        switch (random.nextInt(4)) {
          case 0 -> running;
          case 1 -> List.of(running.get(random.nextInt(running.size())));
          default -> watching;
        };
    long duration =
        SHORTEST_FAULT_NANOSECONDS
            + random.nextLong(LONGEST_FAULT_NANOSECONDS - SHORTEST_FAULT_NANOSECONDS);
    FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
    for (SimulatedInstance instance : harmed) {
      harm(instance, kind, duration);
    }
    if (options.changesPerFault() > 0) {
      scheduler.schedule(duration / 2, () -> changeMany(bound));
    }
  }

  private void harm(SimulatedInstance instance, FaultKind kind, long duration) {
    switch (kind) {
      case PAUSE -> {
        instance.pause();
        scheduler.schedule(duration, instance::resume);
        expireLease(instance, duration);
      }
      case KILL -> {
        instance.kill();
        expireLease(instance, duration);
        scheduler.schedule(
            duration, () -> start(instance.member().name(), instance.member().zone()));
      }
      case CUT_FROM_PEERS -> {
        instance.setLinked(false);
        scheduler.schedule(duration, () -> instance.setLinked(true));
      }
      case REFUSED_BY_STORE -> {
        instance.setStorePath(SimulatedInstance.StorePath.REFUSED);
        scheduler.schedule(
            duration, () -> instance.setStorePath(SimulatedInstance.StorePath.SOUND));
      }
      default -> {
        instance.setStorePath(SimulatedInstance.StorePath.SILENT);
        scheduler.schedule(
            duration, () -> instance.setStorePath(SimulatedInstance.StorePath.SOUND));
      }
    }
  }

  private void expireLease(SimulatedInstance instance, long duration) {
    String key = schema.memberKey(instance.member());
    if (duration > LEASE_NANOSECONDS) {
      scheduler.schedule(LEASE_NANOSECONDS, () -> store.remove(key));
      scheduler.schedule(duration + REGISTRATION_DELAY_NANOSECONDS, () -> register(instance));
    }
  }

  private Result result() {
    List<String> unequal = new ArrayList<>();
    Map<String, ServerRegistration> expected = new HashMap<>();
    store
        .items()
        .forEach(
            item -> {
              if (schema.decode(item.key(), item.value())
                  instanceof DecodedItem.ServerItem server) {
                expected.put(server.server().identifier(), server.server());
              }
            });
    long watchers = 0;
    for (SimulatedInstance instance : groups.values().stream().flatMap(List::stream).toList()) {
      watchers += instance.isRunning() && instance.isWatching() ? 1 : 0;
      if (instance.isRunning() && !instance.servers().equals(expected)) {
        unequal.add(instance.member().name());
      }
    }
    int largest =
        callsBySecond.entrySet().stream()
            .filter(entry -> entry.getKey() >= 5)
            .mapToInt(Map.Entry::getValue)
            .max()
            .orElse(0);
    return new Result(
        callsBySecond.values().stream().mapToLong(Integer::longValue).sum(),
        largest,
        messageCount,
        delaysNanoseconds.stream().sorted().map(Duration::ofNanos).toList(),
        backwards,
        lateChanges,
        unequal,
        watchers);
  }
}
