package org.corianderweir.daemon.control;

import java.util.Objects;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.topology.EntryInstance;
import org.jspecify.annotations.Nullable;

/** Builder of a {@link LimitService}; every value must be set. */
public final class LimitServiceBuilder {
  private @Nullable EntryInstance self;
  private long incarnation;
  private @Nullable PlatformService platform;
  private @Nullable ControlExecutor controlExecutor;
  private @Nullable EventLog events;
  private @Nullable ConfigurationService configuration;
  private @Nullable MembershipService membership;
  private @Nullable PeerTransport transport;
  private @Nullable TimeSource time;

  LimitServiceBuilder() {}

  /** Sets this entry instance and the incarnation of its process. */
  public LimitServiceBuilder withSelf(EntryInstance instance, long newIncarnation) {
    self = instance;
    incarnation = newIncarnation;
    return this;
  }

  /** Sets the platform service that stores the slot registers. */
  public LimitServiceBuilder withPlatform(PlatformService service) {
    platform = service;
    return this;
  }

  /** Sets the executor of the control thread. */
  public LimitServiceBuilder withControlExecutor(ControlExecutor executor) {
    controlExecutor = executor;
    return this;
  }

  /** Sets the log that records events. */
  public LimitServiceBuilder withEvents(EventLog log) {
    events = log;
    return this;
  }

  /** Sets the service that provides the configured limits. */
  public LimitServiceBuilder withConfiguration(ConfigurationService service) {
    configuration = service;
    return this;
  }

  /** Sets the service that lists the live entry instances. */
  public LimitServiceBuilder withMembership(MembershipService service) {
    membership = service;
    return this;
  }

  /** Sets the transport of messages between entry instances. */
  public LimitServiceBuilder withTransport(PeerTransport peerTransport) {
    transport = peerTransport;
    return this;
  }

  /** Sets the source of the present time. */
  public LimitServiceBuilder withTime(TimeSource source) {
    time = source;
    return this;
  }

  /** Builds the service from the values that were set. */
  public LimitService build() {
    return new LimitService(this);
  }

  EntryInstance self() {
    return Objects.requireNonNull(self);
  }

  long incarnation() {
    return incarnation;
  }

  PlatformService platform() {
    return Objects.requireNonNull(platform);
  }

  ControlExecutor controlExecutor() {
    return Objects.requireNonNull(controlExecutor);
  }

  EventLog events() {
    return Objects.requireNonNull(events);
  }

  ConfigurationService configuration() {
    return Objects.requireNonNull(configuration);
  }

  MembershipService membership() {
    return Objects.requireNonNull(membership);
  }

  PeerTransport transport() {
    return Objects.requireNonNull(transport);
  }

  TimeSource time() {
    return Objects.requireNonNull(time);
  }
}
