package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.platform.MetadataStore;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.logic.traffic.FleetFacts;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.store.Lease;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.corianderweir.model.store.StorePage;
import org.corianderweir.model.store.WatchResult;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.platform.PlatformSchema;
import org.corianderweir.protocol.PeerMessage;
import org.corianderweir.protocol.PeerMessageCodec;
import org.corianderweir.protocol.StoreRelayMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link StoreWatcher} with a scripted store and two instances of a zone in virtual time:
 * the test decides when the store answers an instance and when messages arrive.
 */
public class StoreWatcherTest {
  /** Changes that the platform's store returns with one answer. */
  private static final int ANSWER_LIMIT = 500;

  private static final int KEY_COUNT = 40;
  private static final String ZONE = "north-a";
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(400);
  private static final Duration LEASE_GRACE_PERIOD = Duration.ofMillis(2_300);

  private final PlatformSchema schema = new PlatformSchema();
  private VirtualTime time;
  private ScriptedStore store;
  private Instance relay;
  private Instance follower;

  /** Starts two instances; the first one in the order of the zone is the relay. */
  @BeforeMethod
  public void startZone() {
    time = new VirtualTime();
    store = new ScriptedStore();
    List<Instance> instances =
        Stream.of("entry-1", "entry-2").map(StoreWatcherTest::member).map(Instance::new).toList();
    instances.forEach(
        instance -> store.put(schema.memberKey(instance.member), schema.encode(instance.member)));
    instances.get(0).connect(instances.get(1));
    instances.get(1).connect(instances.get(0));
    pass(Duration.ofSeconds(3));
    relay = instances.get(instances.get(0).watcher.isWatching() ? 0 : 1);
    follower = instances.get(relay == instances.get(0) ? 1 : 0);
    assertTrue(relay.watcher.isWatching());
    assertFalse(follower.watcher.isWatching());
  }

  @DataProvider
  public Object[][] missedChanges() {
    return new Object[][] {
      {100, 10}, {ANSWER_LIMIT + 100, 10}, {1_500, 10}, {5_000, 10}, {400, 1_000}, {10, 60_000}
    };
  }

  /**
   * An instance that missed more changes in an outage than the history of its relay holds caught up
   * by itself in answers of 500 changes, and still used an old configuration after 4 s.
   */
  @Test(dataProvider = "missedChanges")
  public void followerIsAsNewAsItsRelayAfterOneExchange(int changes, int valueBytes) {
    putZone("gone", 1);
    pass(Duration.ofSeconds(2));
    assertEquals(follower.evacuatedZones(), Set.of("gone"));
    follower.reachesStore = false;
    relay.linked = false;
    store.remove("op/evacuate/gone");
    for (int change = 0; change < changes; change++) {
      putZone("zone-" + change % KEY_COUNT, valueBytes);
    }
    putZone("last", 1);
    pass(Duration.ofSeconds(8));
    assertEquals(relay.evacuatedZones(), store.zones());
    assertEquals(follower.evacuatedZones(), Set.of("gone"));
    relay.linked = true;
    pass(HEARTBEAT_INTERVAL);
    assertEquals(follower.evacuatedZones(), store.zones());
    assertEquals(follower.view.revision(), relay.view.revision());
    assertEquals(follower.requestCount, 1);
  }

  /** A relay behind the store waited for 0.4 s after each answer of 500 changes. */
  @Test
  public void relayReadsOnAtOnceWhileTheStoreHasMore() {
    while (store.waiting.isEmpty()) {
      pass(Duration.ofMillis(1));
    }
    for (int change = 0; change < 3 * ANSWER_LIMIT; change++) {
      putZone("zone-" + change, 1);
    }
    store.answerWaiting();
    pass(Duration.ofMillis(1));
    assertEquals(relay.evacuatedZones(), store.zones());
    assertEquals(follower.evacuatedZones(), store.zones());
  }

  /** An instance behind its relay called the store for changes that the relay has. */
  @Test
  public void instanceBehindItsRelayDoesNotCallTheStore() {
    relay.linked = false;
    for (int change = 0; change < 3 * ANSWER_LIMIT; change++) {
      putZone("zone-" + change, 1);
    }
    follower.reachesStore = false;
    pass(Duration.ofSeconds(4));
    int callsBefore = follower.answeredCalls;
    relay.linked = true;
    pass(HEARTBEAT_INTERVAL);
    follower.reachesStore = true;
    pass(Duration.ofSeconds(3));
    assertEquals(follower.evacuatedZones(), store.zones());
    assertFalse(follower.watcher.isWatching());
    assertEquals(follower.answeredCalls, callsBefore);
  }

  private void putZone(String zone, int valueBytes) {
    store.put("op/evacuate/" + zone, new byte[valueBytes]);
  }

  private void pass(Duration duration) {
    time.runUntil(time.nowNanoseconds + duration.toNanos());
  }

  private static FleetMember member(String name) {
    return new FleetMember(name, "10.0.0.1", 80, 81, ZONE, "north", 1);
  }

  /** Tasks in the order of their times. */
  private static final class VirtualTime {
    private record Task(long nanoseconds, long number, Runnable action) {}

    private final PriorityQueue<Task> tasks =
        new PriorityQueue<>(
            Comparator.comparingLong(Task::nanoseconds).thenComparingLong(Task::number));
    private long nowNanoseconds;
    private long taskCount;

    void schedule(Duration delay, Runnable action) {
      taskCount++;
      tasks.add(new Task(nowNanoseconds + delay.toNanos(), taskCount, action));
    }

    void runUntil(long endNanoseconds) {
      while (!tasks.isEmpty() && tasks.peek().nanoseconds() <= endNanoseconds) {
        Task task = tasks.remove();
        nowNanoseconds = task.nanoseconds();
        task.action().run();
      }
      nowNanoseconds = endNanoseconds;
    }
  }

  /** A key-value store whose watches return a bounded number of changes. */
  private static final class ScriptedStore {
    private static final String ZONE_PREFIX = "op/evacuate/";

    private final Map<String, StoreItem> items = new TreeMap<>();
    private final List<StoreChange> changes = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long revision = 1;

    void put(String key, byte[] value) {
      revision++;
      StoreItem item = new StoreItem(key, value, revision);
      items.put(key, item);
      changes.add(new StoreChange.Written(item));
    }

    void remove(String key) {
      revision++;
      items.remove(key);
      changes.add(new StoreChange.Removed(key, revision));
    }

    Set<String> zones() {
      return items.keySet().stream()
          .filter(key -> key.startsWith(ZONE_PREFIX))
          .map(key -> key.substring(ZONE_PREFIX.length()))
          .collect(Collectors.toSet());
    }

    StorePage page() {
      return new StorePage(List.copyOf(items.values()), false, revision);
    }

    WatchResult changesAfter(long known) {
      List<StoreChange> later =
          changes.stream().filter(change -> change.revision() > known).limit(ANSWER_LIMIT).toList();
      boolean limited = later.size() == ANSWER_LIMIT;
      return new WatchResult.Changes(
          later, limited ? later.get(ANSWER_LIMIT - 1).revision() : revision);
    }

    void answerWaiting() {
      List<Runnable> woken = List.copyOf(waiting);
      waiting.clear();
      woken.forEach(Runnable::run);
    }
  }

  /** An instance with its clock, its way to the store and its link to the other instance. */
  private final class Instance implements TaskScheduler, TimeSource, MetadataStore, StoreUpdates {
    private final FleetMember member;
    private final StoreWatcher watcher;
    private Optional<Instance> peer = Optional.empty();
    private FleetView view = FleetView.EMPTY;
    private boolean reachesStore = true;
    private boolean linked = true;
    private int answeredCalls;
    private int requestCount;

    Instance(FleetMember member) {
      this.member = member;
      watcher =
          new StoreWatcher(
              this,
              this,
              new EventLog(member.name(), this),
              this,
              member,
              new FleetFacts(schema, LEASE_GRACE_PERIOD),
              newView -> view = newView);
      watcher.connect(this);
      watcher.start();
    }

    void connect(Instance other) {
      peer = Optional.of(other);
    }

    Set<String> evacuatedZones() {
      return view.evacuatedZones();
    }

    @Override
    public long monotonicNanoseconds() {
      return time.nowNanoseconds;
    }

    @Override
    public long wallMilliseconds() {
      return Duration.ofNanos(time.nowNanoseconds).toMillis();
    }

    @Override
    public void execute(Runnable task) {
      schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      time.schedule(delay, task);
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, Optional<String> after) {
      CompletableFuture<StorePage> answer = new CompletableFuture<>();
      answer(answer, store::page);
      return answer;
    }

    @Override
    public CompletableFuture<WatchResult> watch(
        String prefix, long revision, Duration maximumWait) {
      CompletableFuture<WatchResult> answer = new CompletableFuture<>();
      if (!reachesStore || maximumWait.isZero() || store.revision > revision) {
        answer(answer, () -> store.changesAfter(revision));
      } else {
        Runnable change = () -> answer(answer, () -> store.changesAfter(revision));
        store.waiting.add(change);
        schedule(
            maximumWait,
            () -> {
              store.waiting.remove(change);
              change.run();
            });
      }
      return answer;
    }

    private <T> void answer(CompletableFuture<T> answer, Supplier<T> result) {
      if (answer.isDone()) {
        return;
      }
      if (reachesStore) {
        answeredCalls++;
        answer.complete(result.get());
      } else {
        answer.completeExceptionally(
            new WeirException(ErrorCode.PLATFORM_UNAVAILABLE, "the scripted store is away"));
      }
    }

    @Override
    public void sendToZone(StoreUpdate update) {
      deliver(new StoreRelayMessage.Update(update));
    }

    @Override
    public void send(String instance, StoreUpdate update) {
      deliver(new StoreRelayMessage.Update(update));
    }

    @Override
    public void send(String instance, StoreSnapshotPart part) {
      deliver(new StoreRelayMessage.Snapshot(part));
    }

    @Override
    public void requestChanges(String instance, long afterRevision) {
      requestCount++;
      deliver(new StoreRelayMessage.ChangesRequest(afterRevision));
    }

    /** Passes a message on as it arrives over the network. */
    private void deliver(StoreRelayMessage message) {
      byte[] frame = PeerMessageCodec.encode(message);
      Instance recipient = peer.orElseThrow();
      if (linked && recipient.linked) {
        recipient.execute(() -> recipient.receive(member.name(), PeerMessageCodec.decode(frame)));
      }
    }

    private void receive(String sender, PeerMessage message) {
      switch (message) {
        case StoreRelayMessage.Update update -> watcher.receive(sender, update.update());
        case StoreRelayMessage.Snapshot snapshot -> watcher.receive(sender, snapshot.part());
        case StoreRelayMessage.ChangesRequest request ->
            watcher.answerRequest(sender, request.afterRevision());
        default -> throw new IllegalArgumentException("not a message of relays");
      }
    }

    @Override
    public CompletableFuture<Lease> acquireLease(Duration duration) {
      throw new UnsupportedOperationException("the test writes the members itself");
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
      throw new UnsupportedOperationException("the test writes the members itself");
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
      throw new UnsupportedOperationException("the test writes the members itself");
    }

    @Override
    public CompletableFuture<Boolean> write(String key, byte[] value, long lease) {
      throw new UnsupportedOperationException("the test writes the members itself");
    }

    @Override
    public CompletableFuture<Boolean> create(String key, byte[] value) {
      throw new UnsupportedOperationException("the test writes the members itself");
    }
  }
}
