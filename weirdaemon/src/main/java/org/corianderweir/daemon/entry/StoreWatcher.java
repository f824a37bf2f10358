package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.platform.MetadataStore;
import org.corianderweir.logic.traffic.FleetFacts;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.store.StoreItem;
import org.corianderweir.model.store.StorePage;
import org.corianderweir.model.store.WatchResult;
import org.corianderweir.model.timeline.EventCode;

/**
 * Follows the metadata store: lists its items once, then watches for changes. Runs on the control
 * thread.
 */
final class StoreWatcher {
  /**
   * Time for which the store holds a watch. If a watch no longer receives changes, the next one
   * starts after this time.
   */
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_500);

  /** Delay between watches. Changes within this time are fetched with one request. */
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(400);

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofMillis(400);

  /** In a shorter outage, leases do not expire. */
  private static final Duration MINIMUM_LEASE_EXPIRY_OUTAGE = Duration.ofMillis(1_000);

  private final MetadataStore store;
  private final ControlExecutor controlExecutor;
  private final EventLog events;
  private final TimeSource time;
  private final FleetFacts facts;
  private final Consumer<FleetView> listener;
  private long revision;
  private Duration retryDelay = INITIAL_RETRY_DELAY;
  private Optional<Long> outageStartNanoseconds = Optional.empty();
  private boolean stopped;

  StoreWatcher(
      MetadataStore store,
      ControlExecutor controlExecutor,
      EventLog events,
      TimeSource time,
      FleetFacts facts,
      Consumer<FleetView> listener) {
    this.store = store;
    this.controlExecutor = controlExecutor;
    this.events = events;
    this.time = time;
    this.facts = facts;
    this.listener = listener;
  }

  void start() {
    controlExecutor.execute(this::list);
  }

  void stop() {
    controlExecutor.execute(() -> stopped = true);
  }

  private void list() {
    listPage(Optional.empty(), new HashMap<>(), Long.MAX_VALUE);
  }

  private void listPage(
      Optional<String> after, Map<String, StoreItem> itemsByKey, long listRevision) {
    store
        .list("", after)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                retryAfterFailure(failure, this::list);
              } else {
                handlePage(page, itemsByKey, listRevision);
              }
            },
            controlExecutor);
  }

  private void handlePage(StorePage page, Map<String, StoreItem> itemsByKey, long listRevision) {
    recordSuccess();
    page.items().forEach(item -> itemsByKey.put(item.key(), item));
    long firstRevision = Math.min(listRevision, page.revision());
    if (page.hasMore() && !page.items().isEmpty()) {
      String last = page.items().get(page.items().size() - 1).key();
      listPage(Optional.of(last), itemsByKey, firstRevision);
      return;
    }
    long now = time.monotonicNanoseconds();
    reportUnreadable(facts.replaceAll(itemsByKey.values(), firstRevision, now));
    revision = firstRevision;
    publish();
    watch();
  }

  private void watch() {
    if (stopped) {
      return;
    }
    store
        .watch("", revision, outageStartNanoseconds.isEmpty() ? WATCH_TIMEOUT : Duration.ZERO)
        .whenCompleteAsync(
            (result, failure) -> {
              if (failure != null) {
                retryAfterFailure(failure, this::watch);
              } else {
                handleWatchResult(result);
              }
            },
            controlExecutor);
  }

  private void handleWatchResult(WatchResult result) {
    recordSuccess();
    switch (result) {
      case WatchResult.Compacted unused -> list();
      case WatchResult.Changes changes -> {
        long now = time.monotonicNanoseconds();
        reportUnreadable(facts.apply(changes.changes(), now));
        revision = Math.max(revision, changes.revision());
        if (!changes.changes().isEmpty()) {
          publish();
        }
        controlExecutor.schedule(WATCH_INTERVAL, this::watch);
      }
    }
  }

  private void publish() {
    listener.accept(facts.view(time.monotonicNanoseconds()));
    facts
        .nextExpiry(time.monotonicNanoseconds())
        .ifPresent(delay -> controlExecutor.schedule(delay, this::publish));
  }

  private void recordSuccess() {
    retryDelay = INITIAL_RETRY_DELAY;
    if (outageStartNanoseconds.isPresent()) {
      long now = time.monotonicNanoseconds();
      long outage = now - outageStartNanoseconds.get();
      outageStartNanoseconds = Optional.empty();
      events.record(
          EventCode.PLATFORM_FOUND, "store", "outage=" + Duration.ofNanos(outage).toMillis());
      if (outage >= MINIMUM_LEASE_EXPIRY_OUTAGE.toNanos()) {
        facts.storeRecovered(now);
      }
    }
  }

  private void retryAfterFailure(Throwable failure, Runnable operation) {
    if (outageStartNanoseconds.isEmpty()) {
      outageStartNanoseconds = Optional.of(time.monotonicNanoseconds());
      Throwable cause = WeirException.unwrap(failure);
      events.record(EventCode.PLATFORM_LOST, "store", "cause=" + cause.getMessage());
    }
    if (!stopped) {
      controlExecutor.schedule(retryDelay, operation);
      Duration doubled = retryDelay.multipliedBy(2);
      retryDelay = doubled.compareTo(MAXIMUM_RETRY_DELAY) < 0 ? doubled : MAXIMUM_RETRY_DELAY;
    }
  }

  private void reportUnreadable(List<String> unreadable) {
    unreadable.forEach(
        reason -> events.record(EventCode.CONFIGURATION_UNREADABLE, "store", reason));
  }
}
