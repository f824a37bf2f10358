package org.corianderweir.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.corianderweir.kernel.ControlLoop;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.ConfigurationEditor;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.protocol.Json;

/** Keeps the configuration in force; it only ever moves to a higher revision. */
public final class ConfigurationService implements Service {
  /** The name of this service. */
  public static final ServiceName<ConfigurationService> NAME =
      new ServiceName<>("configuration", ConfigurationService.class);

  /** The key of the platform's service that holds the configuration. */
  public static final String STORE_KEY = "configuration";

  private static final Duration READ_PERIOD = Duration.ofMillis(500);

  private final PlatformService platform;
  private final ControlLoop loop;
  private final EventLog events;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private volatile Configuration inForce = Configuration.EMPTY;
  private boolean platformLost;

  private record Change(Configuration configuration, long version) {}

  /** Creates the service with an empty configuration. */
  public ConfigurationService(PlatformService platform, ControlLoop loop, EventLog events) {
    this.platform = platform;
    this.loop = loop;
    this.events = events;
  }

  /** Returns the configuration in force; any thread may call this. */
  public Configuration inForce() {
    return inForce;
  }

  /** Registers a listener that is told of each new configuration on the control thread. */
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /** Puts a configuration in force if its revision is higher; control thread only. */
  public void offer(Configuration candidate) {
    if (candidate.revision() <= inForce.revision()) {
      return;
    }
    inForce = candidate;
    events.record(
        EventCode.CONFIGURATION_IN_FORCE,
        "revision-" + candidate.revision(),
        "operation=" + candidate.operation());
    listeners.forEach(listener -> listener.accept(candidate));
  }

  /**
   * Makes a change through the platform's service.
   *
   * <p>The future fails with {@code REVISION_CONFLICT} if another change came first, and with
   * {@code CONFIGURATION_INVALID} if the change is not allowed.
   */
  public CompletableFuture<Configuration> change(
      long expectedRevision, ConfigurationChange change, String operation) {
    return platform
        .read(STORE_KEY)
        .thenApply(stored -> prepare(stored, expectedRevision, change, operation))
        .thenCompose(this::write)
        .thenApply(
            accepted -> {
              loop.execute(() -> offer(accepted));
              return accepted;
            });
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(EventLog.NAME, ControlService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    loop.every(READ_PERIOD, this::refresh);
  }

  @Override
  public void stop() {}

  private static Change prepare(
      Optional<StoredValue> stored,
      long expectedRevision,
      ConfigurationChange change,
      String operation) {
    Configuration current =
        stored
            .map(value -> Json.read(value.value(), Configuration.class))
            .orElse(Configuration.EMPTY);
    if (current.revision() != expectedRevision) {
      throw new WeirException(
          ErrorCode.REVISION_CONFLICT,
          "the current revision is " + current.revision() + " by " + current.operation());
    }
    Configuration changed = ConfigurationEditor.apply(current, change, operation);
    return new Change(changed, stored.map(StoredValue::version).orElse(0L));
  }

  private CompletableFuture<Configuration> write(Change change) {
    return platform
        .compareAndSwap(STORE_KEY, change.version(), Json.write(change.configuration()))
        .thenApply(
            result ->
                switch (result) {
                  case WriteResult.Written written -> change.configuration();
                  case WriteResult.Conflict conflict ->
                      throw new WeirException(
                          ErrorCode.REVISION_CONFLICT, "another change came first");
                });
  }

  private void refresh() {
    platform
        .read(STORE_KEY)
        .whenComplete((stored, failure) -> loop.execute(() -> refreshed(stored, failure)));
  }

  private void refreshed(
      Optional<StoredValue> stored, @org.jspecify.annotations.Nullable Throwable failure) {
    boolean lost = failure != null;
    if (lost != platformLost) {
      platformLost = lost;
      events.record(
          lost ? EventCode.PLATFORM_LOST : EventCode.PLATFORM_FOUND,
          "platform",
          lost ? String.valueOf(failure) : "");
    }
    if (!lost) {
      stored.ifPresent(value -> offer(Json.read(value.value(), Configuration.class)));
    }
  }
}
