package org.corianderweir.daemon.control;

import java.time.Duration;
import java.util.List;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.peer.Received;
import org.corianderweir.kernel.ControlLoop;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.membership.MembershipTable;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.MembershipMessage;

/** Sends heartbeats to the listed entry instances and tracks which ones are alive. */
public final class MembershipService implements Service {
  /** The name of this service. */
  public static final ServiceName<MembershipService> NAME =
      new ServiceName<>("membership", MembershipService.class);

  private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
  private static final Duration SILENCE = Duration.ofSeconds(3);
  private static final Duration LIST_PERIOD = Duration.ofSeconds(1);

  private final EntryInstance self;
  private final PlatformService platform;
  private final ControlLoop loop;
  private final EventLog events;
  private final ConfigurationService configuration;
  private final PeerTransport transport;
  private final TimeSource time;
  private final MembershipTable table = new MembershipTable(SILENCE);
  private final long incarnation;
  private List<ListedInstance> listed = List.of();
  private volatile InstanceState state = InstanceState.JOINING;
  private volatile List<Member> members = List.of();

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
    this.incarnation = incarnation;
  }

  /** Returns the instances that are alive, this one too; any thread may call this. */
  public List<Member> members() {
    return members;
  }

  /** Returns the state of this instance; any thread may call this. */
  public InstanceState state() {
    return state;
  }

  /** Begins to leave: heartbeats and look-ups say so at once. */
  public void leave() {
    loop.execute(
        () -> {
          state = InstanceState.LEAVING;
          events.record(EventCode.INSTANCE_LEAVING, self.name(), "");
          beat();
        });
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(ConfigurationService.NAME, PeerTransport.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    transport.onMessage(MembershipMessage.class, received -> loop.execute(() -> receive(received)));
    loop.every(LIST_PERIOD, this::refreshList);
    loop.every(HEARTBEAT_PERIOD, this::beat);
  }

  @Override
  public void stop() {}

  private void refreshList() {
    platform.listInstances().thenAccept(instances -> loop.execute(() -> listed = instances));
  }

  private void beat() {
    if (state == InstanceState.JOINING && configuration.inForce().revision() > 0) {
      state = InstanceState.SERVING;
    }
    long now = time.monotonicNanoseconds();
    Member own = new Member(self, incarnation, state, configuration.inForce().revision());
    table.heard(own, now);
    for (Member silent : table.expire(now)) {
      events.record(EventCode.PEER_SILENT, silent.instance().name(), "");
    }
    members = table.members();
    MembershipMessage.Heartbeat heartbeat =
        new MembershipMessage.Heartbeat(own, events.clock().tick(time.wallMilliseconds()));
    for (ListedInstance other : listed) {
      if (!other.instance().name().equals(self.name())) {
        transport.send(other.instance(), heartbeat);
      }
    }
  }

  private void receive(Received<MembershipMessage> received) {
    switch (received.message()) {
      case MembershipMessage.Heartbeat heartbeat -> {
        if (!heartbeat.sender().instance().name().equals(received.sender().name())) {
          return;
        }
        events.clock().observe(heartbeat.timestamp());
        if (table.heard(heartbeat.sender(), time.monotonicNanoseconds())) {
          events.record(EventCode.PEER_ALIVE, heartbeat.sender().instance().name(), "");
        }
        members = table.members();
      }
    }
  }
}
