package org.corianderweir.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.logic.keys.KeyFreshness;
import org.corianderweir.logic.keys.RevisionConfirmation;
import org.corianderweir.logic.keys.ZoneReport;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.membership.Relays;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.corianderweir.protocol.ConfigurationMessage;
import org.corianderweir.protocol.DemandMessage;
import org.corianderweir.protocol.LimitMessage;
import org.corianderweir.protocol.MembershipMessage;
import org.corianderweir.protocol.MembershipMessage.AgedRevision;
import org.corianderweir.protocol.PeerMessage;
import org.corianderweir.protocol.ServerReportMessage;
import org.corianderweir.protocol.StoreRelayMessage;

/**
 * Membership, distribution of the configuration and freshness of the keys for one entry instance.
 * Only the control thread uses it.
 */
public final class FleetNode {
  /** Period of calls of {@link #tick}. */
  public static final Duration TICK_PERIOD = Duration.ofSeconds(1);

  private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(2_500);
  private static final Duration MINIMUM_LISTENING_TIME = Duration.ofSeconds(3);

  private static final int LIST_PERIOD_TICKS = 5;

  private final EntryInstance self;
  private final long incarnation;
  private final Outbox outbox;
  private final OwnZone ownZone;
  private final OtherZones otherZones;
  private final ConfigurationGossip gossip;
  private final KeyFreshness freshness;
  private final long startNanoseconds;
  private Set<String> configuredZones = Set.of();
  private InstanceState state = InstanceState.JOINING;
  private long lastTickNanoseconds;
  private boolean receivedFromPeer;
  private boolean headReadFailed;
  private long requestedRevision;
  private long ticks;

  /** Creates a node that has just started. */
  public FleetNode(
      EntryInstance self, long incarnation, RandomGenerator random, long nowNanoseconds) {
    this.self = self;
    this.incarnation = incarnation;
    outbox = new Outbox(self.name(), this::findInstance);
    ownZone = new OwnZone(self, random);
    otherZones = new OtherZones(self.availabilityZone(), random);
    gossip = new ConfigurationGossip(outbox, random);
    freshness = new KeyFreshness(self.availabilityZone());
    startNanoseconds = nowNanoseconds;
    lastTickNanoseconds = nowNanoseconds;
  }

  /** Returns the state of this instance. */
  public InstanceState state() {
    return state;
  }

  /** Returns the revision in force. */
  public long revision() {
    return gossip.revision();
  }

  /** Returns the configuration in force as it is sent and stored; empty before the first one. */
  public Optional<ConfigurationBundle> bundle() {
    return gossip.bundle();
  }

  /** Returns the live instances of the own zone and the sampled instances of the other zones. */
  public List<Member> members() {
    List<Member> members = new ArrayList<>(ownZone.members());
    otherZones.directory().samples().forEach(sample -> members.addAll(sample.members()));
    return members;
  }

  /** Returns the tracker of the freshness of the keys. */
  public KeyFreshness freshness() {
    return freshness;
  }

  /** Returns whether this instance is a relay of its zone. */
  public boolean isRelay() {
    return Relays.isRelay(ownZone.members(), self.name());
  }

  /**
   * Returns whether this instance may accept an operator's change. It must have contact with
   * another instance of its zone, to which it can announce the change, unless it is the only
   * instance there.
   */
  public boolean mayAcceptChanges(long nowNanoseconds) {
    boolean alone =
        ownZone.members().size() <= 1
            && otherZones.directory().listedOwnZoneInstances().stream()
                .allMatch(listed -> listed.name().equals(self.name()));
    return alone || ownZone.hasTwoWayContact(nowNanoseconds);
  }

  /** Records the platform's list of instances, which may be out of date. */
  public void instancesListed(Collection<ListedInstance> instances) {
    otherZones.directory().setListedInstances(instances);
  }

  /** Begins to leave the fleet; the next tick sends the state to the other instances. */
  public void leave() {
    state = InstanceState.LEAVING;
  }

  /** Performs the periodic work. Call it once in each {@link #TICK_PERIOD}. */
  public List<Action> tick(long nowNanoseconds, HybridTimestamp timestamp) {
    detectPause(nowNanoseconds);
    joinIfReady(nowNanoseconds);
    sendHeartbeats(nowNanoseconds, timestamp);
    for (Member silent : ownZone.expire(nowNanoseconds)) {
      outbox.recordEvent(EventCode.PEER_SILENT, silent.instance().name(), "");
    }
    otherZones.directory().expire(nowNanoseconds);
    if (isRelay()) {
      otherZones
          .requestZoneStates(ownSample(timestamp.wallMilliseconds()), nowNanoseconds)
          .forEach(outbox::add);
    }
    boolean joining = state == InstanceState.JOINING;
    if (isRelay() || joining) {
      outbox.add(new Action.ReadHead());
    }
    ticks++;
    if (joining || (isRelay() && ticks % LIST_PERIOD_TICKS == 0)) {
      outbox.add(new Action.ReadInstanceList());
    }
    freshness.confirmIfNoZoneHasStoreContact(zones(), nowNanoseconds);
    return outbox.drain();
  }

  /** Handles a message from another instance. */
  public List<Action> receive(
      PeerIdentity sender, PeerMessage message, long nowNanoseconds, long wallMilliseconds) {
    switch (message) {
      case MembershipMessage membership ->
          receiveMembership(sender, membership, nowNanoseconds, wallMilliseconds);
      case ConfigurationMessage configuration -> {
        gossip.receive(sender, configuration, nowNanoseconds);
        gossip.fetched().ifPresent(this::putInForce);
      }
      case LimitMessage limit -> {
        // The limits are handled by a separate state machine.
      }
      case DemandMessage demand -> {
        // Demand is shared only by instances that follow the platform's store.
      }
      case ServerReportMessage report -> {
        // Reports of servers are shared only by instances that forward requests to them.
      }
      case StoreRelayMessage relay -> {
        // The store is relayed only by instances that follow the platform's store.
      }
    }
    return outbox.drain();
  }

  /** Handles the head that the platform's store returned; empty if there is none yet. */
  public List<Action> headRead(
      Optional<ConfigurationHead> head, long requestedNanoseconds, long nowNanoseconds) {
    headReadFailed = false;
    long revision = head.map(ConfigurationHead::revision).orElse(0L);
    if (revision < revision()) {
      return List.of();
    }
    freshness.recordStoreConfirmation(new RevisionConfirmation(revision, requestedNanoseconds));
    gossip.recordRevision(revision, nowNanoseconds);
    if (revision > revision() && revision != requestedRevision) {
      requestedRevision = revision;
      outbox.add(new Action.LoadConfiguration(head.orElseThrow()));
    }
    return outbox.drain();
  }

  /** Records that the platform's store did not respond. */
  public void headReadFailed(long requestedNanoseconds) {
    headReadFailed = true;
    requestedRevision = 0;
    freshness.recordStoreFailure(requestedNanoseconds);
  }

  /**
   * Records that a configuration could not be loaded; the next head that is read leads to a new
   * attempt.
   */
  public void configurationLoadFailed() {
    requestedRevision = 0;
  }

  /** Handles a configuration that was loaded from the platform's store. */
  public List<Action> configurationLoaded(ConfigurationBundle candidate) {
    putInForce(candidate);
    return outbox.drain();
  }

  /**
   * Handles a configuration that was accepted through this instance, and announces it to the relays
   * of the zone. The relays of the other zones find it in the platform's store, so the instance
   * that accepts a change need not send it to each zone.
   */
  public List<Action> changeAccepted(ConfigurationBundle candidate) {
    putInForce(candidate);
    gossip.announceTo(
        Relays.ranked(ownZone.members()).stream()
            .limit(Relays.RELAYS_PER_ZONE)
            .map(Member::instance)
            .filter(relay -> !relay.name().equals(self.name()))
            .toList());
    return outbox.drain();
  }

  /** Returns all known zones, including the own one. */
  public Set<String> zones() {
    Set<String> zones = new TreeSet<>(configuredZones);
    zones.addAll(otherZones.directory().zones());
    zones.add(self.availabilityZone());
    return zones;
  }

  /** Returns the report about the own zone. */
  public ZoneReport ownZoneReport(long nowNanoseconds) {
    long lowest = ownZone.members().stream().mapToLong(Member::revision).min().orElse(revision());
    return new ZoneReport(
        self.availabilityZone(),
        lowest,
        gossip.highestKnownRevision(),
        freshness.hasStoreContact(nowNanoseconds),
        nowNanoseconds);
  }

  private void detectPause(long nowNanoseconds) {
    long gap = nowNanoseconds - lastTickNanoseconds;
    lastTickNanoseconds = nowNanoseconds;
    if (gap > PAUSE_THRESHOLD.toNanos()) {
      ownZone.restartTimeouts(nowNanoseconds);
      String length = Duration.ofNanos(gap).toMillis() + " ms";
      outbox.recordEvent(EventCode.CONTROL_PAUSED, self.name(), length);
    }
  }

  private void joinIfReady(long nowNanoseconds) {
    boolean waiting = revision() == 0 || gossip.isBehind(nowNanoseconds);
    if (state != InstanceState.JOINING || waiting) {
      return;
    }
    boolean listened = nowNanoseconds - startNanoseconds >= MINIMUM_LISTENING_TIME.toNanos();
    boolean peersAgree = headReadFailed && listened && receivedFromPeer;
    if (freshness.latestConfirmation().isPresent() || peersAgree) {
      state = InstanceState.SERVING;
    }
  }

  private void sendHeartbeats(long nowNanoseconds, HybridTimestamp timestamp) {
    Member own = new Member(self, incarnation, state, revision());
    MembershipMessage.Heartbeat content =
        new MembershipMessage.Heartbeat(
            0,
            0,
            state,
            revision(),
            toAged(freshness.storeConfirmation(), nowNanoseconds),
            toAged(freshness.latestConfirmation(), nowNanoseconds),
            timestamp);
    ownZone
        .sendHeartbeats(
            own, content, otherZones.directory().listedOwnZoneInstances(), nowNanoseconds)
        .forEach(outbox::add);
  }

  private void receiveMembership(
      PeerIdentity sender, MembershipMessage message, long nowNanoseconds, long wallMilliseconds) {
    switch (message) {
      case MembershipMessage.Introduction introduction ->
          ownZone.receiveIntroduction(sender, introduction.instance());
      case MembershipMessage.Heartbeat heartbeat ->
          receiveHeartbeat(sender, heartbeat, nowNanoseconds);
      case MembershipMessage.ZoneStateRequest request -> {
        receiveSample(request.sample(), true, nowNanoseconds);
        respondToZoneStateRequest(sender, request.sequence(), nowNanoseconds, wallMilliseconds);
      }
      case MembershipMessage.ZoneStateResponse response ->
          receiveZoneStateResponse(sender, response, nowNanoseconds);
      case MembershipMessage.Sample sample -> receiveSample(sample.sample(), false, nowNanoseconds);
      case MembershipMessage.SamplesRequest request ->
          otherZones
              .directory()
              .samples()
              .forEach(sample -> outbox.send(sender.name(), new MembershipMessage.Sample(sample)));
    }
  }

  private void receiveHeartbeat(
      PeerIdentity sender, MembershipMessage.Heartbeat heartbeat, long nowNanoseconds) {
    Optional<OwnZone.HeartbeatResult> result =
        ownZone.receiveHeartbeat(sender, heartbeat, nowNanoseconds);
    if (result.isEmpty()) {
      return;
    }
    receivedFromPeer = true;
    if (result.get().isNew()) {
      outbox.recordEvent(EventCode.PEER_ALIVE, sender.name(), "");
    }
    if (result.get().isNew() && state == InstanceState.JOINING) {
      outbox.send(sender.name(), new MembershipMessage.SamplesRequest());
    }
    gossip.recordPeerRevision(sender, heartbeat.revision(), nowNanoseconds);
    OptionalLong sent = result.get().sentNanoseconds();
    if (sent.isPresent()) {
      fromAged(heartbeat.storeRevision(), sent.getAsLong())
          .ifPresent(freshness::recordStoreConfirmation);
      fromAged(heartbeat.confirmedRevision(), sent.getAsLong())
          .ifPresent(freshness::recordConfirmation);
    }
  }

  private void respondToZoneStateRequest(
      PeerIdentity sender, long echoedSequence, long nowNanoseconds, long wallMilliseconds) {
    List<ZoneReport> reports = new ArrayList<>(freshness.zoneReports());
    if (isRelay()) {
      reports.add(ownZoneReport(nowNanoseconds));
    }
    outbox.send(
        sender.name(),
        new MembershipMessage.ZoneStateResponse(
            echoedSequence,
            revision(),
            toAged(freshness.storeConfirmation(), nowNanoseconds),
            OtherZones.toAged(reports, nowNanoseconds),
            ownSample(wallMilliseconds)));
  }

  private void receiveZoneStateResponse(
      PeerIdentity sender, MembershipMessage.ZoneStateResponse response, long nowNanoseconds) {
    OptionalLong sent = otherZones.sentAt(response.echoedSequence());
    if (sent.isEmpty()) {
      return;
    }
    receivedFromPeer = true;
    receiveSample(response.sample(), true, nowNanoseconds);
    gossip.recordPeerRevision(sender, response.revision(), nowNanoseconds);
    fromAged(response.storeRevision(), sent.getAsLong())
        .ifPresent(freshness::recordStoreConfirmation);
    response
        .zoneReports()
        .forEach(
            report -> freshness.recordZoneReport(OtherZones.fromAged(report, sent.getAsLong())));
  }

  /**
   * Records a sample of another zone. A sample with new instances that was received directly from
   * that zone is forwarded once to the own zone.
   */
  private void receiveSample(ZoneSample sample, boolean firstHand, long nowNanoseconds) {
    boolean hasNewInstances =
        otherZones.directory().recordSample(sample, firstHand, nowNanoseconds);
    if (hasNewInstances && firstHand) {
      MembershipMessage message = new MembershipMessage.Sample(sample);
      zonePeers().forEach(peer -> outbox.send(peer, message));
    }
  }

  private void putInForce(ConfigurationBundle candidate) {
    if (candidate.head().revision() <= revision()) {
      return;
    }
    try {
      Configuration content =
          ConfigurationDocuments.assemble(
              candidate.index(),
              hash -> Optional.ofNullable(candidate.documentsByHash().get(hash)));
      gossip.acceptCandidate(candidate);
      freshness.recordRevisionInForce(candidate.head().revision());
      configuredZones =
          content.zones().stream().map(AvailabilityZone::name).collect(Collectors.toSet());
      outbox.add(new Action.PutInForce(candidate, content));
      gossip.announceToRandomPeers(zonePeers());
    } catch (WeirException unreadable) {
      outbox.recordEvent(
          EventCode.CONFIGURATION_UNREADABLE,
          "revision-" + candidate.head().revision(),
          String.valueOf(unreadable.getMessage()));
    }
  }

  private List<EntryInstance> zonePeers() {
    return ownZone.members().stream()
        .map(Member::instance)
        .filter(instance -> !instance.name().equals(self.name()))
        .toList();
  }

  private Optional<EntryInstance> findInstance(String name) {
    return ownZone.findInstance(name).or(() -> otherZones.directory().findInstance(name));
  }

  private ZoneSample ownSample(long wallMilliseconds) {
    return ZoneSample.of(self.availabilityZone(), wallMilliseconds, ownZone.members());
  }

  private static AgedRevision toAged(
      Optional<RevisionConfirmation> confirmation, long nowNanoseconds) {
    return confirmation
        .map(
            known ->
                new AgedRevision(
                    known.revision(),
                    OtherZones.ageMilliseconds(known.asOfNanoseconds(), nowNanoseconds)))
        .orElse(AgedRevision.NONE);
  }

  private static Optional<RevisionConfirmation> fromAged(
      AgedRevision revision, long sentNanoseconds) {
    return revision.ageMilliseconds() == AgedRevision.UNKNOWN_AGE_MILLISECONDS
        ? Optional.empty()
        : Optional.of(
            new RevisionConfirmation(
                revision.revision(),
                OtherZones.asOfNanoseconds(revision.ageMilliseconds(), sentNanoseconds)));
  }
}
