package org.corianderweir.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.ConfigurationDifference;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.ConfigurationIndex;
import org.corianderweir.model.configuration.PastRevision;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration in force. A configuration is replaced only by one with a higher revision.
 */
public final class ConfigurationService implements Service {
  /** The name of this service. */
  public static final ServiceName<ConfigurationService> NAME =
      new ServiceName<>("configuration", ConfigurationService.class);

  private final ConfigurationStore store;
  private final ConfigurationWriter writer;
  private final EventLog events;
  private final TimeSource time;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private volatile Configuration inForce = Configuration.EMPTY;
  private volatile Optional<ConfigurationBundle> bundle = Optional.empty();
  private volatile Consumer<ConfigurationBundle> acceptedListener = accepted -> {};
  private volatile BooleanSupplier changeGuard = () -> true;

  /** Creates the service; the empty configuration is in force. */
  public ConfigurationService(ConfigurationStore store, EventLog events, TimeSource time) {
    this.store = store;
    this.events = events;
    this.time = time;
    writer = new ConfigurationWriter(store, () -> bundle);
  }

  /** Returns the configuration in force; any thread may call this. */
  public Configuration inForce() {
    return inForce;
  }

  /** Returns the configuration in force as it is stored and sent; any thread may call this. */
  public Optional<ConfigurationBundle> bundle() {
    return bundle;
  }

  /** Registers a listener that is called on the control thread with each new configuration. */
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /**
   * Sets the guard and the listener of the changes that are made through this instance.
   *
   * @param guard returns whether changes may be accepted at present
   * @param listener called on any thread with each accepted change
   */
  public void setChangeGuardAndListener(
      BooleanSupplier guard, Consumer<ConfigurationBundle> listener) {
    changeGuard = guard;
    acceptedListener = listener;
  }

  /**
   * Puts a configuration in force if its revision is higher than the one in force. Must be called
   * on the control thread.
   */
  public void putInForce(ConfigurationBundle newer, Configuration content) {
    if (content.revision() <= inForce.revision()) {
      return;
    }
    bundle = Optional.of(newer);
    inForce = content;
    events.record(
        EventCode.CONFIGURATION_IN_FORCE,
        "revision-" + content.revision(),
        "operation=" + content.operation());
    listeners.forEach(listener -> listener.accept(content));
  }

  /**
   * Writes a change to the platform service and returns the revision that the change created.
   *
   * <p>The future fails with {@code REVISION_CONFLICT} if another change was accepted first, with
   * {@code CONFIGURATION_INVALID} if the change breaks a rule, with {@code INSTANCE_ISOLATED} if
   * this instance has no contact with the other instances of its availability zone, and with {@code
   * OUTCOME_UNKNOWN} if the platform's response was lost. After an unknown outcome the change can
   * be repeated under the same operation identifier; it is made at most once.
   */
  public CompletableFuture<Long> change(
      long expectedRevision, ConfigurationChange change, String operation) {
    if (!changeGuard.getAsBoolean()) {
      return CompletableFuture.failedFuture(
          new WeirException(
              ErrorCode.INSTANCE_ISOLATED,
              "this instance has no contact with its availability zone; use another one"));
    }
    return writer
        .change(
            new ConfigurationWriter.Request(
                expectedRevision, change, operation, time.wallMilliseconds()))
        .whenComplete((accepted, failure) -> recordOutcome(operation, accepted, failure))
        .thenApply(
            accepted -> {
              acceptedListener.accept(accepted.bundle());
              return accepted.revision();
            });
  }

  /** Returns the latest changes, newest first. */
  public List<AcceptedChange> history() {
    return bundle
        .map(ConfigurationBundle::index)
        .map(
            index ->
                java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(index.change()),
                        index.history().stream().map(PastRevision::change))
                    .toList())
        .orElse(List.of());
  }

  /** Returns what changed between two revisions of the history. */
  public CompletableFuture<ConfigurationDifference> difference(long from, long to) {
    return revision(from).thenCombine(revision(to), ConfigurationDifference::between);
  }

  /**
   * Returns a revision of the history; the future fails with {@code CONFIGURATION_INVALID} if the
   * revision is not in the history. Revision 0 is the empty configuration.
   */
  public CompletableFuture<Configuration> revision(long revision) {
    if (revision == 0) {
      return CompletableFuture.completedFuture(Configuration.EMPTY);
    }
    if (revision == inForce.revision()) {
      return CompletableFuture.completedFuture(inForce);
    }
    return findHead(revision)
        .map(head -> store.load(head, hash -> Optional.empty()).thenApply(this::assemble))
        .orElseGet(
            () ->
                CompletableFuture.failedFuture(
                    new WeirException(
                        ErrorCode.CONFIGURATION_INVALID,
                        "revision " + revision + " is not in the history")));
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(EventLog.NAME, ControlService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {}

  @Override
  public void stop() {}

  private Configuration assemble(ConfigurationBundle loaded) {
    return ConfigurationDocuments.assemble(
        loaded.index(), hash -> Optional.ofNullable(loaded.documentsByHash().get(hash)));
  }

  private Optional<ConfigurationHead> findHead(long revision) {
    return bundle.map(ConfigurationBundle::index).map(ConfigurationIndex::history).stream()
        .flatMap(List::stream)
        .filter(past -> past.change().revision() == revision)
        .map(past -> new ConfigurationHead(revision, past.change().operation(), past.indexHash()))
        .findFirst();
  }

  private void recordOutcome(
      String operation,
      ConfigurationWriter.@Nullable Accepted accepted,
      @Nullable Throwable failure) {
    if (accepted != null) {
      events.record(
          EventCode.CONFIGURATION_ACCEPTED,
          "revision-" + accepted.revision(),
          "operation=" + operation);
      return;
    }
    @Nullable Throwable cause = failure == null ? null : WeirException.unwrap(failure);
    boolean unknown =
        cause instanceof WeirException typed && typed.code() == ErrorCode.OUTCOME_UNKNOWN;
    events.record(
        unknown ? EventCode.CONFIGURATION_UNKNOWN : EventCode.CONFIGURATION_REFUSED,
        operation,
        cause == null ? "" : String.valueOf(cause.getMessage()));
  }
}
