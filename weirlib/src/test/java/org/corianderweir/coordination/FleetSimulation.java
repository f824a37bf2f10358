package org.corianderweir.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.keys.RevisionConfirmation;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.PastRevision;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.corianderweir.protocol.PeerMessage;
import org.corianderweir.protocol.PeerMessageCodec;

/**
 * A simulated fleet of nodes with a store and a network that have faults; its course is determined
 * by one seed.
 */
final class FleetSimulation {
  static final long MILLISECOND_NANOSECONDS = 1_000_000L;
  static final long SECOND_NANOSECONDS = 1_000 * MILLISECOND_NANOSECONDS;

  final Random random;
  final Map<String, SimulatedInstance> instances = new TreeMap<>();
  final List<String> zones = new ArrayList<>();
  final Map<Long, Long> acceptedNanoseconds = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  BiFunction<SimulatedInstance, PeerMessage, PeerMessage> onArrival = (receiver, sent) -> sent;
  double lossProbability;
  double delayProbability;
  long nowNanoseconds = SECOND_NANOSECONDS;
  long storeCalls;
  long sentBytes;
  boolean storeLags;
  int keyCount;
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final Map<String, Boolean> cutLinks = new HashMap<>();
  private final Map<String, Boolean> zonesCutFromStore = new HashMap<>();
  private final Map<Long, ConfigurationBundle> store = new TreeMap<>();
  private long nextOrder;
  private long lastIncarnation;

  private record Event(long timeNanoseconds, long order, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanoseconds, other.timeNanoseconds);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** One process with its node. */
  static final class SimulatedInstance {
    final EntryInstance entryInstance;
    FleetNode node;
    long incarnation;
    boolean alive;
    long pausedUntilNanoseconds;
    long highestRevisionSeen;
    long sentBytes;
    long receivedBytes;

    SimulatedInstance(EntryInstance entryInstance) {
      this.entryInstance = entryInstance;
    }
  }

  FleetSimulation(long seed, int zoneCount, int instancesPerZone) {
    random = new Random(seed);
    for (int zone = 0; zone < zoneCount; zone++) {
      zones.add("zone-" + zone);
      for (int number = 0; number < instancesPerZone; number++) {
        String name = "entry-" + zone + "-" + number;
        String host = "127." + zone / 4 + "." + zone + "." + number;
        EntryInstance entryInstance =
            new EntryInstance(name, "region-" + zone / 4, "zone-" + zone, host, 8000, 8001, 8002);
        instances.put(name, new SimulatedInstance(entryInstance));
      }
    }
    instances.values().forEach(this::start);
  }

  /** Starts a new process of an instance, without any state of the former one. */
  void start(SimulatedInstance instance) {
    lastIncarnation++;
    instance.incarnation = lastIncarnation;
    instance.node =
        new FleetNode(
            instance.entryInstance, lastIncarnation, new Random(random.nextLong()), nowNanoseconds);
    instance.alive = true;
    instance.pausedUntilNanoseconds = 0;
    instance.highestRevisionSeen = 0;
    long own = lastIncarnation;
    schedule(random.nextInt(1000) * MILLISECOND_NANOSECONDS, () -> tick(instance, own));
  }

  void kill(SimulatedInstance instance) {
    instance.alive = false;
  }

  void schedule(long delay, Runnable task) {
    queue.add(new Event(nowNanoseconds + delay, nextOrder++, task));
  }

  void runFor(Duration duration) {
    long end = nowNanoseconds + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().timeNanoseconds() <= end) {
      Event event = queue.poll();
      nowNanoseconds = event.timeNanoseconds();
      event.task().run();
    }
    nowNanoseconds = end;
  }

  void setLinkCut(String from, String to, boolean isCut) {
    cutLinks.put(from + '>' + to, isCut);
  }

  void setStoreCut(String zone, boolean isCut) {
    zonesCutFromStore.put(zone, isCut);
  }

  void clearFaults() {
    cutLinks.clear();
    zonesCutFromStore.clear();
    lossProbability = 0;
    delayProbability = 0;
    storeLags = false;
  }

  long storeRevision() {
    return store.size();
  }

  boolean reachesStore(SimulatedInstance instance) {
    return !zonesCutFromStore.getOrDefault(instance.entryInstance.availabilityZone(), false);
  }

  /**
   * Makes an operator's change through an instance. The process can be killed after the store
   * accepted the change but before it receives the response.
   */
  void makeChange(SimulatedInstance instance, boolean diesBeforeResponse) {
    boolean possible =
        instance.alive
            && nowNanoseconds >= instance.pausedUntilNanoseconds
            && reachesStore(instance)
            && instance.node.mayAcceptChanges(nowNanoseconds);
    if (!possible) {
      return;
    }
    long revision = storeRevision() + 1;
    ConfigurationBundle bundle = createBundle(revision);
    store.put(revision, bundle);
    acceptedNanoseconds.put(revision, nowNanoseconds);
    if (diesBeforeResponse) {
      kill(instance);
    } else {
      performActions(instance, instance.node.changeAccepted(bundle));
    }
  }

  /**
   * Checks that no instance goes back to an earlier revision or accepts a withdrawn key for too
   * long.
   */
  void checkInvariants(SimulatedInstance instance, KeyFreshnessView view) {
    long revision = instance.node.revision();
    if (revision < instance.highestRevisionSeen) {
      violations.add(instance.entryInstance.name() + " went back to " + revision);
    }
    instance.highestRevisionSeen = revision;
    Long withdrawn = acceptedNanoseconds.get(revision + 1);
    long bound =
        KeyFreshnessView.DEFAULT_STALENESS_LIMIT.toNanos()
            + InForceReport.PROPAGATION_TIMEOUT.toNanos();
    if (withdrawn != null
        && view.mayAcceptKeys("", nowNanoseconds)
        && nowNanoseconds - withdrawn > bound) {
      long late = (nowNanoseconds - withdrawn) / MILLISECOND_NANOSECONDS;
      violations.add(
          instance.entryInstance.name() + " accepts withdrawn key after " + late + " ms");
    }
  }

  KeyFreshnessView keyFreshnessView(SimulatedInstance instance) {
    Optional<RevisionConfirmation> usable = instance.node.freshness().latestConfirmation();
    return new KeyFreshnessView(
        usable.isPresent(), usable.map(RevisionConfirmation::asOfNanoseconds).orElse(0L), Map.of());
  }

  private ConfigurationBundle createBundle(long revision) {
    Configuration content =
        Configuration.builder()
            .revision(revision)
            .operation("operation-" + revision)
            .keys(createKeys(revision))
            .zones(
                zones.stream()
                    .map(zone -> new AvailabilityZone(zone, "region", List.of()))
                    .toList())
            .build();
    AcceptedChange change = new AcceptedChange(revision, "operation-" + revision, "", 0);
    List<PastRevision> history =
        Optional.ofNullable(store.get(revision - 1))
            .map(before -> before.index().nextHistory(before.head().indexHash()))
            .orElse(List.of());
    return ConfigurationDocuments.split(content, change, history);
  }

  /**
   * Returns the keys of a revision: all initial keys except the one that the revision withdraws.
   */
  private List<AccessKey> createKeys(long revision) {
    List<AccessKey> list = new ArrayList<>();
    for (int number = 0; number < keyCount; number++) {
      if (number != revision) {
        list.add(new AccessKey("key-" + number, "adebayo", "0011", "ab".repeat(32)));
      }
    }
    return list;
  }

  private void tick(SimulatedInstance instance, long ofIncarnation) {
    if (!instance.alive || instance.incarnation != ofIncarnation) {
      return;
    }
    if (nowNanoseconds < instance.pausedUntilNanoseconds) {
      schedule(
          instance.pausedUntilNanoseconds - nowNanoseconds, () -> tick(instance, ofIncarnation));
      return;
    }
    checkInvariants(instance, keyFreshnessView(instance));
    performActions(
        instance,
        instance.node.tick(
            nowNanoseconds, new HybridTimestamp(nowNanoseconds / MILLISECOND_NANOSECONDS, 0)));
    long jitter = random.nextInt(20) * MILLISECOND_NANOSECONDS;
    schedule(FleetNode.TICK_PERIOD.toNanos() + jitter, () -> tick(instance, ofIncarnation));
  }

  private void performActions(SimulatedInstance instance, List<Action> actions) {
    for (Action action : actions) {
      switch (action) {
        case Action.Send send -> transmit(instance, send);
        case Action.ReadHead read -> readHead(instance);
        case Action.ReadInstanceList read -> readList(instance);
        case Action.LoadConfiguration load -> load(instance, load.head());
        case Action.PutInForce put -> {
          /* The node keeps the revision itself. */
        }
        case Action.RecordEvent event -> {
          /* Events do not affect the simulation. */
        }
      }
    }
  }

  private void transmit(SimulatedInstance sender, Action.Send send) {
    byte[] frame = PeerMessageCodec.encode(send.message());
    sender.sentBytes += frame.length + Integer.BYTES;
    SimulatedInstance receiver = instances.get(send.target().name());
    String link =
        sender.entryInstance.availabilityZone() + '>' + receiver.entryInstance.availabilityZone();
    if (cutLinks.getOrDefault(link, false) || random.nextDouble() < lossProbability) {
      return;
    }
    boolean late = random.nextDouble() < delayProbability;
    long delay = (1 + random.nextInt(late ? 15_000 : 60)) * MILLISECOND_NANOSECONDS;
    PeerIdentity identity = new PeerIdentity(sender.entryInstance.name(), sender.incarnation);
    schedule(delay, () -> deliver(receiver, identity, frame));
  }

  private void deliver(SimulatedInstance receiver, PeerIdentity sender, byte[] frame) {
    if (!receiver.alive) {
      return;
    }
    if (nowNanoseconds < receiver.pausedUntilNanoseconds) {
      schedule(
          receiver.pausedUntilNanoseconds - nowNanoseconds, () -> deliver(receiver, sender, frame));
      return;
    }
    receiver.receivedBytes += frame.length + Integer.BYTES;
    PeerMessage message = onArrival.apply(receiver, PeerMessageCodec.decode(frame));
    performActions(
        receiver,
        receiver.node.receive(
            sender, message, nowNanoseconds, nowNanoseconds / MILLISECOND_NANOSECONDS));
    checkInvariants(receiver, keyFreshnessView(receiver));
  }

  private void readHead(SimulatedInstance instance) {
    storeCalls++;
    long requested = nowNanoseconds;
    long own = instance.incarnation;
    long revisionLag = random.nextInt(5);
    boolean reached = reachesStore(instance);
    long revision = storeLags ? Math.max(0, storeRevision() - revisionLag) : storeRevision();
    Optional<ConfigurationHead> head =
        Optional.ofNullable(store.get(revision)).map(ConfigurationBundle::head);
    schedule(
        (1 + random.nextInt(reached ? 20 : 1_500)) * MILLISECOND_NANOSECONDS,
        () -> {
          if (instance.alive && instance.incarnation == own) {
            if (reached) {
              performActions(instance, instance.node.headRead(head, requested, nowNanoseconds));
            } else {
              instance.node.headReadFailed(requested);
            }
          }
        });
  }

  private void readList(SimulatedInstance instance) {
    storeCalls++;
    List<ListedInstance> listed =
        instances.values().stream()
            .map(known -> new ListedInstance(known.entryInstance, false))
            .toList();
    instance.node.instancesListed(listed);
  }

  private void load(SimulatedInstance instance, ConfigurationHead head) {
    long own = instance.incarnation;
    boolean reached = reachesStore(instance);
    schedule(
        (1 + random.nextInt(50)) * MILLISECOND_NANOSECONDS,
        () -> {
          if (instance.alive && instance.incarnation == own) {
            if (reached) {
              performActions(
                  instance, instance.node.configurationLoaded(store.get(head.revision())));
            } else {
              instance.node.configurationLoadFailed();
            }
          }
        });
  }
}
