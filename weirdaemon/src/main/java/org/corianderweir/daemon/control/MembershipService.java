package org.corianderweir.daemon.control;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.coordination.Action;
import org.corianderweir.coordination.FleetNode;
import org.corianderweir.coordination.InForceReport;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.peer.Received;
import org.corianderweir.kernel.ControlLoop;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.keys.Confirmation;
import org.corianderweir.logic.keys.KeyFreshnessView;
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

/** Drives the {@link FleetNode} of this instance and publishes what it knows. */
public final class MembershipService implements Service {
  /** The name of this service. */
  public static final ServiceName<MembershipService> NAME =
      new ServiceName<>("membership", MembershipService.class);

  private final EntryInstance self;
  private final PlatformService platform;
  private final ConfigurationStore store;
  private final ControlLoop loop;
  private final EventLog events;
  private final ConfigurationService configuration;
  private final PeerTransport transport;
  private final TimeSource time;
  private final FleetNode node;
  private boolean platformLost;
  private boolean keysConfirmed;
  private volatile InstanceState state = InstanceState.JOINING;
  private volatile List<Member> members = List.of();
  private volatile KeyFreshnessView freshness = KeyFreshnessView.UNCONFIRMED;
  private volatile boolean mayAcceptChanges;

  /** Creates the service; this instance is joining. */
  public MembershipService(
      EntryInstance self,
      long incarnation,
      PlatformService platform,
      ControlLoop loop,
      EventLog events,
      ConfigurationService configuration,
      PeerTransport transport,
      TimeSource time) {
    this.self = self;
    this.platform = platform;
    this.loop = loop;
    this.events = events;
    this.configuration = configuration;
    this.transport = transport;
    this.time = time;
    store = new ConfigurationStore(platform);
    node = new FleetNode(self, incarnation, new SecureRandom(), time.monotonicNanoseconds());
  }

  /**
   * Returns the instances of the own availability zone that are alive, this one too, and some of
   * each other zone; any thread may call this.
   */
  public List<Member> members() {
    return members;
  }

  /** Returns the state of this instance; any thread may call this. */
  public InstanceState state() {
    return state;
  }

  /** Returns whether keys may be accepted; any thread may call this. */
  public KeyFreshnessView keyFreshness() {
    return freshness;
  }

  /** Returns in which availability zones a revision is in force; any thread may call this. */
  public CompletableFuture<InForceReport> inForce(long revision) {
    return CompletableFuture.supplyAsync(
        () ->
            InForceReport.of(
                node,
                configuration.inForce(),
                revision,
                time.monotonicNanoseconds(),
                time.wallMilliseconds()),
        loop);
  }

  /** Begins to leave: heartbeats and look-ups say so at once. */
  public void leave() {
    loop.execute(
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
    configuration.onAccepted(
        () -> mayAcceptChanges, bundle -> loop.execute(() -> perform(node.accepted(bundle))));
    loop.every(FleetNode.PERIOD, this::tick);
  }

  @Override
  public void stop() {}

  private void receive(Received<? extends PeerMessage> received) {
    loop.execute(
        () -> {
          if (received.message() instanceof MembershipMessage.Heartbeat heartbeat) {
            events.clock().observe(heartbeat.timestamp());
          }
          perform(
              node.received(
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
      case Action.ReadList read ->
          platform.listInstances().thenAccept(listed -> loop.execute(() -> node.listed(listed)));
      case Action.Load load -> load(load.head());
      case Action.PutInForce put -> configuration.putInForce(put.bundle(), put.configuration());
      case Action.Record event -> events.record(event.code(), event.subject(), event.detail());
    }
  }

  private void readHead() {
    long asked = time.monotonicNanoseconds();
    store
        .readHead()
        .whenComplete((head, failure) -> loop.execute(() -> headRead(head, failure, asked)));
  }

  private void headRead(
      ConfigurationStore.@Nullable VersionedHead head, @Nullable Throwable failure, long asked) {
    boolean lost = head == null;
    if (lost != platformLost) {
      platformLost = lost;
      events.record(
          lost ? EventCode.PLATFORM_LOST : EventCode.PLATFORM_FOUND,
          "platform",
          lost ? String.valueOf(failure) : "");
    }
    if (head == null) {
      node.storeFailed(asked);
      publish();
    } else {
      perform(node.storeAnswered(head.head(), asked, time.monotonicNanoseconds()));
    }
  }

  private void load(ConfigurationHead head) {
    Optional<ConfigurationBundle> known = configuration.bundle();
    store
        .load(head, hash -> known.flatMap(bundle -> Optional.ofNullable(bundle.texts().get(hash))))
        .whenComplete((bundle, failure) -> loop.execute(() -> loaded(head, bundle, failure)));
  }

  private void loaded(
      ConfigurationHead head, @Nullable ConfigurationBundle bundle, @Nullable Throwable failure) {
    if (bundle == null) {
      node.loadFailed();
      events.record(
          EventCode.CONFIGURATION_UNREADABLE,
          "revision-" + head.revision(),
          String.valueOf(failure));
    } else {
      perform(node.loaded(bundle));
    }
  }

  private void publish() {
    long now = time.monotonicNanoseconds();
    List<Member> current = node.members();
    if (!current.equals(members)) {
      members = List.copyOf(current);
    }
    mayAcceptChanges = node.mayAcceptChanges(now);
    Configuration inForce = configuration.inForce();
    Optional<Confirmation> usable = node.freshness().usable();
    KeyFreshnessView view =
        new KeyFreshnessView(
            usable.isPresent(),
            usable.map(Confirmation::momentNanoseconds).orElse(0L),
            KeyFreshnessView.allowances(inForce));
    freshness = view;
    state = node.state();
    recordFreshness(view.allows("", now));
  }

  private void recordFreshness(boolean confirmed) {
    if (confirmed != keysConfirmed) {
      keysConfirmed = confirmed;
      events.record(
          confirmed ? EventCode.KEYS_CONFIRMED : EventCode.KEYS_NOT_CONFIRMED, self.name(), "");
    }
  }
}
