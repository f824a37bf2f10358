package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.GuardedTask;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.platform.MetadataStore;
import org.corianderweir.logic.relay.RelayReaction;
import org.corianderweir.logic.relay.RelayTiming;
import org.corianderweir.logic.relay.StoreFollower;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.logic.relay.WatchDecision;
import org.corianderweir.logic.traffic.FleetFacts;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.FailureDescription;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.corianderweir.model.store.StorePage;
import org.corianderweir.model.store.WatchResult;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.traffic.FleetMember;

/**
 * Follows the metadata store: lists its items once, then watches for changes or takes them from
 * another instance of the availability zone. Runs on the control thread.
 */
public final class StoreWatcher {
  /**
   * Time for which the store holds a watch. If a watch no longer receives changes, the next one
   * starts after this time.
   */
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_200);

  /** Delay between watches. Changes within this time are fetched with one request. */
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(400);

  /** Interval of the updates of an instance that watches, also if nothing has changed. */
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(400);

  /**
   * The limits leave room for a lost heartbeat, and for a watch that the store holds for its whole
   * time, within the bounds for changes of the configuration.
   */
  private static final RelayTiming RELAY_TIMING =
      new RelayTiming(Duration.ofMillis(1_100), Duration.ofMillis(100), Duration.ofMillis(2_200));

  /** Delay before the store is listed again after an answer that could not be applied. */
  private static final Duration LISTING_DELAY = Duration.ofMillis(400);

  /** Age of the view from which a watch begins with a confirmation. */
  private static final Duration CONFIRMATION_NEED_AGE = Duration.ofMillis(800);

  /** Shortest time between two decisions whether to watch. */
  private static final Duration MINIMUM_CHECK_DELAY = Duration.ofMillis(50);

  private final MetadataStore store;
  private final TaskScheduler controlExecutor;
  private final EventLog events;
  private final TimeSource time;
  private final FleetMember self;
  private final FleetFacts facts;
  private final Consumer<FleetView> listener;
  private final StoreFollower follower;
  private final StoreOutage outage;
  private final UnreadableItemLog unreadableItems;
  private Optional<StoreUpdates> updates = Optional.empty();
  private volatile boolean listed;
  private boolean listingNeeded;

  /** Whether changes could not be applied and were not read again since. */
  private boolean incomplete;

  private boolean heartbeatScheduled;
  private boolean waitingAsFollower;
  private long scheduledDecision;
  private long sentNanoseconds;
  private volatile WatchDecision decision = WatchDecision.FOLLOW;
  private boolean stopped;

  /**
   * Creates a watcher that has not read the store yet.
   *
   * @param controlExecutor runs all tasks of the watcher
   * @param self this instance
   * @param facts items of the store that are known
   * @param listener gets each new view of the fleet
   */
  public StoreWatcher(
      MetadataStore store,
      TaskScheduler controlExecutor,
      EventLog events,
      TimeSource time,
      FleetMember self,
      FleetFacts facts,
      Consumer<FleetView> listener) {
    this.store = store;
    this.controlExecutor = controlExecutor;
    this.events = events;
    this.time = time;
    this.self = self;
    this.facts = facts;
    this.listener = listener;
    follower = new StoreFollower(self.name(), self.zone(), RELAY_TIMING);
    outage = new StoreOutage(events);
    unreadableItems = new UnreadableItemLog(events);
  }

  /** Begins to follow the store. */
  public void start() {
    controlExecutor.execute(this::list);
  }

  /** Ends following the store. */
  public void stop() {
    controlExecutor.execute(() -> stopped = true);
  }

  /** Exchanges updates with other instances from now on. */
  public void connect(StoreUpdates connected) {
    updates = Optional.of(connected);
  }

  /** Returns whether this instance watches the store itself. Thread-safe. */
  public boolean isWatching() {
    return decision.watches();
  }

  /** Returns the time since the store confirmed the view; empty before. Thread-safe. */
  public Optional<Duration> viewAge() {
    return listed ? Optional.of(follower.age(time.monotonicNanoseconds())) : Optional.empty();
  }

  /** Applies an update of another instance of the zone. */
  public void receive(String sender, StoreUpdate update) {
    if (listed && !stopped) {
      long now = time.monotonicNanoseconds();
      react(sender, follower.receive(sender, update, now), update.inTouch(), now);
    }
  }

  /** Applies a part of a snapshot of another instance of the zone. */
  public void receive(String sender, StoreSnapshotPart part) {
    if (listed && !stopped) {
      long now = time.monotonicNanoseconds();
      react(sender, follower.receive(sender, part, now), part.confirmation().inTouch(), now);
    }
  }

  private void react(String sender, RelayReaction reaction, boolean inTouch, long now) {
    switch (reaction) {
      case RelayReaction.None unused -> {}
      case RelayReaction.Request request ->
          updates.ifPresent(to -> to.requestChanges(sender, request.afterRevision()));
      case RelayReaction.Apply apply -> {
        recordRecovery(apply.recoveredAge(), now);
        perform(() -> applyChanges(apply.changes(), now), this::needListing);
      }
      case RelayReaction.Replace replace -> {
        recordRecovery(replace.recoveredAge(), now);
        perform(
            () -> {
              unreadableItems.record(facts.replaceAll(replace.items(), replace.revision(), now));
              publish();
            },
            this::needListing);
      }
    }
    if (outage.isPresent() && !follower.timeUntilWatch(now).isZero()) {
      outage.end(sender, now);
    }
    if (waitingAsFollower && !inTouch) {
      scheduleDecision(follower.timeUntilWatch(now));
    }
  }

  private void recordRecovery(Optional<Duration> recoveredAge, long now) {
    recoveredAge.ifPresent(age -> facts.storeRecovered(now - age.toNanos()));
  }

  private void needListing() {
    listingNeeded = true;
    incomplete = true;
  }

  /** Answers a request with the changes after a revision or, if they are not known, a snapshot. */
  public void answerRequest(String sender, long afterRevision) {
    if (!listed || updates.isEmpty()) {
      return;
    }
    StoreUpdates to = updates.get();
    long now = time.monotonicNanoseconds();
    Optional<StoreUpdate> changes = follower.changesAfter(afterRevision, now);
    if (changes.isPresent()) {
      to.send(sender, changes.get());
    } else if (!incomplete) {
      follower.snapshot(facts.storedItems(), now).forEach(part -> to.send(sender, part));
    }
  }

  private void list() {
    if (!stopped) {
      listPage(Optional.empty(), new HashMap<>(), Long.MAX_VALUE);
    }
  }

  private void listPage(
      Optional<String> after, Map<String, StoreItem> itemsByKey, long listRevision) {
    handle(store.list("", after), page -> handlePage(page, itemsByKey, listRevision), this::list);
  }

  private void handlePage(StorePage page, Map<String, StoreItem> itemsByKey, long listRevision) {
    page.items().forEach(item -> itemsByKey.put(item.key(), item));
    long firstRevision = Math.min(listRevision, page.revision());
    if (page.hasMore() && !page.items().isEmpty()) {
      String last = page.items().get(page.items().size() - 1).key();
      listPage(Optional.of(last), itemsByKey, firstRevision);
      return;
    }
    long now = time.monotonicNanoseconds();
    unreadableItems.record(facts.replaceAll(itemsByKey.values(), firstRevision, now));
    follower.listed(firstRevision, now);
    listed = true;
    incomplete = listingNeeded;
    publish();
    watchOrFollow();
  }

  /** Watches the store, or waits as long as another instance sends current updates. */
  private void watchOrFollow() {
    waitingAsFollower = false;
    if (stopped) {
      return;
    }
    if (listingNeeded) {
      listingNeeded = false;
      list();
      return;
    }
    long now = time.monotonicNanoseconds();
    decide(now);
    if (decision.watches()) {
      scheduleHeartbeat();
      // The store answers at once, so that the other instances soon see that this one is in touch.
      boolean unconfirmed =
          outage.isPresent() || follower.age(now).compareTo(CONFIRMATION_NEED_AGE) > 0;
      watch(unconfirmed ? Duration.ZERO : WATCH_TIMEOUT);
    } else {
      Duration delay = follower.timeUntilWatch(now);
      waitingAsFollower = true;
      scheduleDecision(delay.compareTo(MINIMUM_CHECK_DELAY) > 0 ? delay : MINIMUM_CHECK_DELAY);
    }
  }

  /** Decides again after a delay, instead of at the time that was scheduled before. */
  private void scheduleDecision(Duration delay) {
    scheduledDecision++;
    long number = scheduledDecision;
    controlExecutor.schedule(
        delay,
        () -> {
          if (number == scheduledDecision) {
            watchOrFollow();
          }
        });
  }

  private void decide(long now) {
    WatchDecision previous = decision;
    decision = follower.decide(now);
    if (decision != previous) {
      events.record(
          EventCode.STORE_SOURCE_CHANGED,
          "store",
          "decision=%s rank=%d source=%s revision=%d age=%d"
              .formatted(
                  decision,
                  follower.rank(),
                  follower.source().orElse("store"),
                  follower.revision(),
                  follower.age(now).toMillis()));
    }
  }

  private void watch(Duration timeout) {
    handle(
        store.watch("", follower.revision(), timeout),
        this::handleWatchResult,
        this::watchOrFollow);
  }

  private void handleWatchResult(WatchResult result) {
    switch (result) {
      case WatchResult.Compacted unused -> list();
      case WatchResult.Changes changes -> {
        long now = time.monotonicNanoseconds();
        StoreUpdate update = follower.watched(changes.changes(), changes.revision(), now);
        sendToZone(update, now);
        if (!update.changes().isEmpty()) {
          applyChanges(update.changes(), now);
        }
        Duration delay = follower.readsOn(now) ? Duration.ZERO : WATCH_INTERVAL;
        controlExecutor.schedule(delay, this::watchOrFollow);
      }
    }
  }

  private void scheduleHeartbeat() {
    if (!heartbeatScheduled) {
      heartbeatScheduled = true;
      controlExecutor.schedule(HEARTBEAT_INTERVAL, this::sendHeartbeat);
    }
  }

  private void sendHeartbeat() {
    heartbeatScheduled = false;
    if (stopped || !decision.watches()) {
      return;
    }
    long now = time.monotonicNanoseconds();
    if (now - sentNanoseconds >= HEARTBEAT_INTERVAL.dividedBy(2).toNanos()) {
      sendToZone(follower.heartbeat(now), now);
    }
    scheduleHeartbeat();
  }

  private void sendToZone(StoreUpdate update, long now) {
    sentNanoseconds = now;
    updates.ifPresent(to -> to.sendToZone(update));
  }

  private void applyChanges(List<StoreChange> changes, long now) {
    unreadableItems.record(facts.apply(changes, now));
    publish();
  }

  private void publish() {
    FleetView view = facts.view(time.monotonicNanoseconds());
    follower.setZoneMembers(view.membersOf(self.zone()).stream().map(FleetMember::name).toList());
    listener.accept(view);
    facts
        .nextExpiry(time.monotonicNanoseconds())
        .ifPresent(delay -> controlExecutor.schedule(delay, this::publish));
  }

  /** Handles an answer of the store on the control thread. */
  private <T> void handle(CompletableFuture<T> answer, Consumer<T> handler, Runnable operation) {
    answer.whenCompleteAsync(
        (result, failure) -> {
          if (failure != null) {
            retryAfterFailure(failure, operation);
          } else {
            recordSuccess();
            perform(
                () -> handler.accept(result),
                () -> {
                  incomplete = true;
                  controlExecutor.schedule(LISTING_DELAY, this::list);
                });
          }
        },
        controlExecutor);
  }

  /** Runs a task, and another one if it fails unexpectedly. */
  private void perform(Runnable task, Runnable afterFailure) {
    new GuardedTask(
            task,
            failure -> {
              events.record(EventCode.CONTROL_TASK_FAILED, "store", FailureDescription.of(failure));
              afterFailure.run();
            })
        .run();
  }

  private void recordSuccess() {
    outage.resetRetryDelay();
    if (outage.isPresent()) {
      long now = time.monotonicNanoseconds();
      Duration lasted = outage.end("store", now);
      if (StoreOutage.mayExpireLeases(lasted)) {
        facts.storeRecovered(now);
        follower.storeRecovered(now);
      }
    }
  }

  private void retryAfterFailure(Throwable failure, Runnable operation) {
    follower.storeLost();
    if (!outage.isPresent()) {
      long now = time.monotonicNanoseconds();
      sendToZone(follower.heartbeat(now), now);
      outage.begin(failure, now);
    }
    if (!stopped) {
      controlExecutor.schedule(outage.nextRetryDelay(follower.rank()), operation);
    }
  }
}
