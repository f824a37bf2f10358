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
import org.corianderweir.logic.keys.Confirmation;
import org.corianderweir.logic.keys.KeyFreshnessView;
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

/** A fleet of nodes, a store and a network with faults, all driven by one seed. */
final class FleetSimulation {
  static final long MILLISECOND = 1_000_000L;
  static final long SECOND = 1_000 * MILLISECOND;

  final Random random;
  final Map<String, SimulatedInstance> instances = new TreeMap<>();
  final List<String> zones = new ArrayList<>();
  final Map<Long, Long> acceptedNanoseconds = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  BiFunction<SimulatedInstance, PeerMessage, PeerMessage> onArrival = (receiver, sent) -> sent;
  double lossProbability;
  double lateProbability;
  long now = SECOND;
  long storeCalls;
  long sentBytes;
  boolean storeLags;
  int keys;
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final Map<String, Boolean> cuts = new HashMap<>();
  private final Map<String, Boolean> storeCuts = new HashMap<>();
  private final Map<Long, ConfigurationBundle> store = new TreeMap<>();
  private long order;
  private long incarnation;

  private record Event(long time, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** One process with its node. */
  static final class SimulatedInstance {
    final EntryInstance address;
    FleetNode node;
    long incarnation;
    boolean alive;
    long pausedUntil;
    long revisionSeen;
    long sentBytes;
    long receivedBytes;

    SimulatedInstance(EntryInstance address) {
      this.address = address;
    }
  }

  FleetSimulation(long seed, int zoneCount, int instancesPerZone) {
    random = new Random(seed);
    for (int zone = 0; zone < zoneCount; zone++) {
      zones.add("zone-" + zone);
      for (int number = 0; number < instancesPerZone; number++) {
        String name = "entry-" + zone + "-" + number;
        String host = "127." + zone / 4 + "." + zone + "." + number;
        EntryInstance address =
            new EntryInstance(name, "region-" + zone / 4, "zone-" + zone, host, 8000, 8001, 8002);
        instances.put(name, new SimulatedInstance(address));
      }
    }
    instances.values().forEach(this::start);
  }

  /** Starts a process afresh, with nothing in its memory. */
  void start(SimulatedInstance instance) {
    incarnation++;
    instance.incarnation = incarnation;
    instance.node =
        new FleetNode(instance.address, incarnation, new Random(random.nextLong()), now);
    instance.alive = true;
    instance.pausedUntil = 0;
    instance.revisionSeen = 0;
    long own = incarnation;
    after(random.nextInt(1000) * MILLISECOND, () -> tick(instance, own));
  }

  void kill(SimulatedInstance instance) {
    instance.alive = false;
  }

  void after(long delay, Runnable task) {
    queue.add(new Event(now + delay, order++, task));
  }

  void runFor(Duration duration) {
    long end = now + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().time() <= end) {
      Event event = queue.poll();
      now = event.time();
      event.task().run();
    }
    now = end;
  }

  void cut(String from, String to, boolean isCut) {
    cuts.put(from + '>' + to, isCut);
  }

  void cutStore(String zone, boolean isCut) {
    storeCuts.put(zone, isCut);
  }

  void healAll() {
    cuts.clear();
    storeCuts.clear();
    lossProbability = 0;
    lateProbability = 0;
    storeLags = false;
  }

  long storeRevision() {
    return store.size();
  }

  boolean reachesStore(SimulatedInstance instance) {
    return !storeCuts.getOrDefault(instance.address.availabilityZone(), false);
  }

  /** An operator makes a change through an instance; the process may die before it knows. */
  void change(SimulatedInstance instance, boolean diesBeforeTheAnswer) {
    boolean possible =
        instance.alive
            && now >= instance.pausedUntil
            && reachesStore(instance)
            && instance.node.mayAcceptChanges(now);
    if (!possible) {
      return;
    }
    long revision = storeRevision() + 1;
    ConfigurationBundle bundle = bundle(revision);
    store.put(revision, bundle);
    acceptedNanoseconds.put(revision, now);
    if (diesBeforeTheAnswer) {
      kill(instance);
    } else {
      act(instance, instance.node.accepted(bundle));
    }
  }

  /** Checks what must hold at every step. */
  void check(SimulatedInstance instance, KeyFreshnessView view) {
    long revision = instance.node.revision();
    if (revision < instance.revisionSeen) {
      violations.add(instance.address.name() + " went back to " + revision);
    }
    instance.revisionSeen = revision;
    Long withdrawn = acceptedNanoseconds.get(revision + 1);
    long bound = KeyFreshnessView.LIMIT.toNanos() + InForceReport.SPREAD_LIMIT.toNanos();
    if (withdrawn != null && view.allows("", now) && now - withdrawn > bound) {
      long late = (now - withdrawn) / MILLISECOND;
      violations.add(instance.address.name() + " accepts withdrawn key after " + late + " ms");
    }
  }

  KeyFreshnessView view(SimulatedInstance instance) {
    Optional<Confirmation> usable = instance.node.freshness().usable();
    return new KeyFreshnessView(
        usable.isPresent(), usable.map(Confirmation::momentNanoseconds).orElse(0L), Map.of());
  }

  private ConfigurationBundle bundle(long revision) {
    Configuration content =
        Configuration.builder()
            .revision(revision)
            .operation("operation-" + revision)
            .keys(keys(revision))
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

  /** Each revision withdraws one key of those there were at first. */
  private List<AccessKey> keys(long revision) {
    List<AccessKey> list = new ArrayList<>();
    for (int number = 0; number < keys; number++) {
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
    if (now < instance.pausedUntil) {
      after(instance.pausedUntil - now, () -> tick(instance, ofIncarnation));
      return;
    }
    check(instance, view(instance));
    act(instance, instance.node.tick(now, new HybridTimestamp(now / MILLISECOND, 0)));
    long jitter = random.nextInt(20) * MILLISECOND;
    after(FleetNode.PERIOD.toNanos() + jitter, () -> tick(instance, ofIncarnation));
  }

  private void act(SimulatedInstance instance, List<Action> actions) {
    for (Action action : actions) {
      switch (action) {
        case Action.Send send -> transmit(instance, send);
        case Action.ReadHead read -> readHead(instance);
        case Action.ReadList read -> readList(instance);
        case Action.Load load -> load(instance, load.head());
        case Action.PutInForce put -> {
          /* The node keeps the revision itself. */
        }
        case Action.Record event -> {
          /* Events don't change the course. */
        }
      }
    }
  }

  private void transmit(SimulatedInstance sender, Action.Send send) {
    byte[] frame = PeerMessageCodec.encode(send.message());
    sender.sentBytes += frame.length + Integer.BYTES;
    SimulatedInstance receiver = instances.get(send.target().name());
    String link = sender.address.availabilityZone() + '>' + receiver.address.availabilityZone();
    if (cuts.getOrDefault(link, false) || random.nextDouble() < lossProbability) {
      return;
    }
    boolean late = random.nextDouble() < lateProbability;
    long delay = (1 + random.nextInt(late ? 15_000 : 60)) * MILLISECOND;
    PeerIdentity identity = new PeerIdentity(sender.address.name(), sender.incarnation);
    after(delay, () -> arrive(receiver, identity, frame));
  }

  private void arrive(SimulatedInstance receiver, PeerIdentity sender, byte[] frame) {
    if (!receiver.alive) {
      return;
    }
    if (now < receiver.pausedUntil) {
      after(receiver.pausedUntil - now, () -> arrive(receiver, sender, frame));
      return;
    }
    receiver.receivedBytes += frame.length + Integer.BYTES;
    PeerMessage message = onArrival.apply(receiver, PeerMessageCodec.decode(frame));
    act(receiver, receiver.node.received(sender, message, now, now / MILLISECOND));
    check(receiver, view(receiver));
  }

  private void readHead(SimulatedInstance instance) {
    storeCalls++;
    long asked = now;
    long own = instance.incarnation;
    long back = random.nextInt(5);
    boolean reached = reachesStore(instance);
    long revision = storeLags ? Math.max(0, storeRevision() - back) : storeRevision();
    Optional<ConfigurationHead> head =
        Optional.ofNullable(store.get(revision)).map(ConfigurationBundle::head);
    after(
        (1 + random.nextInt(reached ? 20 : 1_500)) * MILLISECOND,
        () -> {
          if (instance.alive && instance.incarnation == own) {
            if (reached) {
              act(instance, instance.node.storeAnswered(head, asked, now));
            } else {
              instance.node.storeFailed(asked);
            }
          }
        });
  }

  private void readList(SimulatedInstance instance) {
    storeCalls++;
    List<ListedInstance> listed =
        instances.values().stream().map(known -> new ListedInstance(known.address, false)).toList();
    instance.node.listed(listed);
  }

  private void load(SimulatedInstance instance, ConfigurationHead head) {
    long own = instance.incarnation;
    boolean reached = reachesStore(instance);
    after(
        (1 + random.nextInt(50)) * MILLISECOND,
        () -> {
          if (instance.alive && instance.incarnation == own) {
            if (reached) {
              act(instance, instance.node.loaded(store.get(head.revision())));
            } else {
              instance.node.loadFailed();
            }
          }
        });
  }
}
