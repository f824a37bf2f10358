package org.corianderweir.daemon.control;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.coordination.Action;
import org.corianderweir.coordination.FleetNode;
import org.corianderweir.coordination.InForceReport;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.peer.ReceivedMessage;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.keys.RevisionConfirmation;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.ConfigurationMessage;
import org.corianderweir.protocol.MembershipMessage;
import org.corianderweir.protocol.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Runs the {@link FleetNode} of this entry instance on the control thread and publishes its state,
 * the live members and the freshness of the keys to other threads.
 */
public final class MembershipService implements Service {
  /** The name of this service. */
  public static final ServiceName<MembershipService> NAME =
      new ServiceName<>("membership", MembershipService.class);

  private final EntryInstance self;
  private final PlatformService platform;
  private final ConfigurationStore store;
  private final ControlExecutor controlExecutor;
  private final EventLog events;
  private final ConfigurationService configuration;
  private final PeerTransport transport;
  private final TimeSource time;
  private final FleetNode node;
  private boolean platformUnreachable;
  private boolean keysConfirmed;
  private volatile InstanceState state = InstanceState.JOINING;
  private volatile List<Member> members = List.of();
  private volatile KeyFreshnessView keyFreshness = KeyFreshnessView.UNCONFIRMED;
  private volatile boolean mayAcceptChanges;

  /** Creates the service; this instance is in state {@code JOINING}. */
  public MembershipService(
      EntryInstance self,
      long incarnation,
      PlatformService platform,
      ControlExecutor controlExecutor,
      EventLog events,
      ConfigurationService configuration,
      PeerTransport transport,
      TimeSource time) {
    this.self = self;
    this.platform = platform;
    this.controlExecutor = controlExecutor;
    this.events = events;
    this.configuration = configuration;
    this.transport = transport;
    this.time = time;
    store = new ConfigurationStore(platform);
    node = new FleetNode(self, incarnation, new SecureRandom(), time.monotonicNanoseconds());
  }

  /**
   * Returns the live entry instances of this instance's availability zone, including this one, and
   * some instances of each other zone. Any thread may call this.
   */
  public List<Member> members() {
    return members;
  }

  /** Returns the state of this instance; any thread may call this. */
  public InstanceState state() {
    return state;
  }

  /** Returns whether the keys are fresh enough to be accepted; any thread may call this. */
  public KeyFreshnessView keyFreshness() {
    return keyFreshness;
  }

  /** Reports in which availability zones a revision is in force; any thread may call this. */
  public CompletableFuture<InForceReport> inForce(long revision) {
    return CompletableFuture.supplyAsync(
        () ->
            InForceReport.of(
                node,
                configuration.inForce(),
                revision,
                time.monotonicNanoseconds(),
                time.wallMilliseconds()),
        controlExecutor);
  }

  /**
   * Starts to leave the fleet. Heartbeats announce it immediately, and lookups no longer return
   * this instance.
   */
  public void leave() {
    controlExecutor.execute(
        () -> {
          node.leave();
          events.record(EventCode.INSTANCE_LEAVING, self.name(), "");
          tick();
        });
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(ConfigurationService.NAME, PeerTransport.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    transport.onMessage(MembershipMessage.class, this::receive);
    transport.onMessage(ConfigurationMessage.class, this::receive);
    configuration.setChangeGuardAndListener(
        () -> mayAcceptChanges,
        bundle -> controlExecutor.execute(() -> perform(node.changeAccepted(bundle))));
    controlExecutor.scheduleWithFixedDelay(FleetNode.TICK_PERIOD, this::tick);
  }

  @Override
  public void stop() {}

  private void receive(ReceivedMessage<? extends PeerMessage> received) {
    controlExecutor.execute(
        () -> {
          if (received.message() instanceof MembershipMessage.Heartbeat heartbeat) {
            events.clock().observe(heartbeat.timestamp());
          }
          perform(
              node.receive(
                  received.sender(),
                  received.message(),
                  time.monotonicNanoseconds(),
                  time.wallMilliseconds()));
        });
  }

  private void tick() {
    perform(node.tick(time.monotonicNanoseconds(), events.clock().tick(time.wallMilliseconds())));
  }

  private void perform(List<Action> actions) {
    actions.forEach(this::perform);
    publish();
  }

  private void perform(Action action) {
    switch (action) {
      case Action.Send send -> transport.send(send.target(), send.message());
      case Action.ReadHead read -> readHead();
      case Action.ReadInstanceList read ->
          platform
              .listInstances()
              .thenAccept(listed -> controlExecutor.execute(() -> node.instancesListed(listed)));
      case Action.LoadConfiguration load -> load(load.head());
      case Action.PutInForce put -> configuration.putInForce(put.bundle(), put.configuration());
      case Action.RecordEvent event -> events.record(event.code(), event.subject(), event.detail());
    }
  }

  private void readHead() {
    long requestedAtNanoseconds = time.monotonicNanoseconds();
    store
        .readHead()
        .whenComplete(
            (head, failure) ->
                controlExecutor.execute(() -> onHeadRead(head, failure, requestedAtNanoseconds)));
  }

  private void onHeadRead(
      ConfigurationStore.@Nullable VersionedHead head,
      @Nullable Throwable failure,
      long requestedAtNanoseconds) {
    boolean unreachable = head == null;
    if (unreachable != platformUnreachable) {
      platformUnreachable = unreachable;
      events.record(
          unreachable ? EventCode.PLATFORM_LOST : EventCode.PLATFORM_FOUND,
          "platform",
          unreachable ? String.valueOf(failure) : "");
    }
    if (head == null) {
      node.headReadFailed(requestedAtNanoseconds);
      publish();
    } else {
      perform(node.headRead(head.head(), requestedAtNanoseconds, time.monotonicNanoseconds()));
    }
  }

  private void load(ConfigurationHead head) {
    Optional<ConfigurationBundle> current = configuration.bundle();
    store
        .load(
            head,
            hash ->
                current.flatMap(bundle -> Optional.ofNullable(bundle.documentsByHash().get(hash))))
        .whenComplete(
            (bundle, failure) ->
                controlExecutor.execute(() -> onConfigurationLoaded(head, bundle, failure)));
  }

  private void onConfigurationLoaded(
      ConfigurationHead head, @Nullable ConfigurationBundle bundle, @Nullable Throwable failure) {
    if (bundle == null) {
      node.configurationLoadFailed();
      events.record(
          EventCode.CONFIGURATION_UNREADABLE,
          "revision-" + head.revision(),
          String.valueOf(failure));
    } else {
      perform(node.configurationLoaded(bundle));
    }
  }

  private void publish() {
    long nowNanoseconds = time.monotonicNanoseconds();
    List<Member> current = node.members();
    if (!current.equals(members)) {
      members = List.copyOf(current);
    }
    mayAcceptChanges = node.mayAcceptChanges(nowNanoseconds);
    Configuration inForce = configuration.inForce();
    Optional<RevisionConfirmation> confirmation = node.freshness().latestConfirmation();
    KeyFreshnessView view =
        new KeyFreshnessView(
            confirmation.isPresent(),
            confirmation.map(RevisionConfirmation::asOfNanoseconds).orElse(0L),
            KeyFreshnessView.stalenessLimits(inForce));
    keyFreshness = view;
    state = node.state();
    recordFreshness(view.mayAcceptKeys("", nowNanoseconds));
  }

  private void recordFreshness(boolean confirmed) {
    if (confirmed != keysConfirmed) {
      keysConfirmed = confirmed;
      events.record(
          confirmed ? EventCode.KEYS_CONFIRMED : EventCode.KEYS_NOT_CONFIRMED, self.name(), "");
    }
  }
}
