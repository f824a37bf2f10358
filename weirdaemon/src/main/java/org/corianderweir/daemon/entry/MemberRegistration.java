package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.logic.platform.MetadataStore;
import org.corianderweir.logic.platform.StoreSchema;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.store.Lease;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.traffic.FleetMember;

/**
 * Keeps this instance registered in the metadata store with a lease. Runs on the control thread.
 */
final class MemberRegistration {
  /** A failed instance stays registered for at most this time after its last renewal. */
  private static final Duration LEASE_DURATION = Duration.ofMillis(4_000);

  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_300);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final MetadataStore store;
  private final StoreSchema schema;
  private final TaskScheduler controlExecutor;
  private final EventLog events;
  private final FleetMember self;
  private Optional<Long> leaseIdentifier = Optional.empty();
  private boolean stopped;
  private boolean failing;
  private boolean missing;

  MemberRegistration(
      MetadataStore store,
      StoreSchema schema,
      TaskScheduler controlExecutor,
      EventLog events,
      FleetMember self) {
    this.store = store;
    this.schema = schema;
    this.controlExecutor = controlExecutor;
    this.events = events;
    this.self = self;
  }

  void start() {
    controlExecutor.execute(this::acquire);
  }

  /** Ends the lease, so that look-ups no longer direct callers to this instance. */
  void stop() {
    controlExecutor.execute(
        () -> {
          stopped = true;
          leaseIdentifier.ifPresent(
              lease ->
                  store
                      .endLease(lease)
                      .whenComplete(
                          (unused, failure) -> reportFailure(Optional.ofNullable(failure))));
          leaseIdentifier = Optional.empty();
        });
  }

  /**
   * Notes whether the store's items, as they are known here, have this registration. The store may
   * execute an earlier write late: the registration then belongs to an older lease and ends with
   * it, although the present lease is renewed.
   */
  void observe(FleetView view) {
    missing = view.members().stream().noneMatch(self::equals);
  }

  private void acquire() {
    if (stopped) {
      return;
    }
    store
        .acquireLease(LEASE_DURATION)
        .thenCompose(this::register)
        .whenCompleteAsync(
            (written, failure) -> {
              reportFailure(Optional.ofNullable(failure));
              boolean held = failure == null && written;
              controlExecutor.schedule(
                  held ? RENEWAL_INTERVAL : RETRY_DELAY, held ? this::renew : this::acquire);
            },
            controlExecutor);
  }

  private CompletableFuture<Boolean> register(Lease acquired) {
    controlExecutor.execute(() -> leaseIdentifier = Optional.of(acquired.identifier()));
    return store.write(schema.memberKey(self), schema.encode(self), acquired.identifier());
  }

  private void renew() {
    if (stopped || leaseIdentifier.isEmpty()) {
      return;
    }
    store
        .renewLease(leaseIdentifier.get())
        .whenCompleteAsync(
            (held, failure) -> {
              reportFailure(Optional.ofNullable(failure));
              if (failure == null && (!held || missing)) {
                acquire();
              } else {
                controlExecutor.schedule(
                    failure == null ? RENEWAL_INTERVAL : RETRY_DELAY, this::renew);
              }
            },
            controlExecutor);
  }

  private void reportFailure(Optional<Throwable> failure) {
    if (failure.isPresent() && !failing) {
      String cause = WeirException.unwrap(failure.get()).getMessage();
      events.record(EventCode.PLATFORM_LOST, "registration", "cause=" + cause);
    }
    failing = failure.isPresent();
  }
}
