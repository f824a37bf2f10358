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

/**
 * Membership, spread of the configuration and freshness of the keys of one entry instance. Used by
 * the control thread alone.
 */
public final class FleetNode {
  /** Time from one {@link #tick} to the next. */
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

  /** Returns the configuration in force as it is sent and stored; absent before the first. */
  public Optional<ConfigurationBundle> bundle() {
    return gossip.bundle();
  }

  /** Returns the instances of the own zone that are alive, and the samples of the others. */
  public List<Member> members() {
    List<Member> members = new ArrayList<>(ownZone.members());
    otherZones.directory().samples().forEach(sample -> members.addAll(sample.members()));
    return members;
  }

  /** Returns what is known of the freshness of the keys. */
  public KeyFreshness freshness() {
    return freshness;
  }

  /** Returns whether this instance is a relay of its zone. */
  public boolean isRelay() {
    return Relays.isRelay(ownZone.members(), self.name());
  }

  /**
   * Returns whether this instance may accept an operator's change: it must be able to tell its
   * zone, unless it is alone there.
   */
  public boolean mayAcceptChanges(long nowNanoseconds) {
    boolean alone =
        ownZone.members().size() <= 1
            && otherZones.directory().listedOwnZoneInstances().stream()
                .allMatch(listed -> listed.name().equals(self.name()));
    return alone || ownZone.hasTwoWayContact(nowNanoseconds);
  }

  /** Takes the platform's list of instances as a hint. */
  public void instancesListed(Collection<ListedInstance> instances) {
    otherZones.directory().setListedInstances(instances);
  }

  /** Begins to leave; the next tick tells the others. */
  public void leave() {
    state = InstanceState.LEAVING;
  }

  /** Runs once in each period. */
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

  /** Takes a message of another instance. */
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
        // The limits have a state machine of their own.
      }
      case DemandMessage fleet -> {
        // Demand is shared only by instances that follow the platform's store.
      }
    }
    return outbox.drain();
  }

  /** Takes the head that the platform's service answered; absent if there is none yet. */
  public List<Action> headRead(
      Optional<ConfigurationHead> head, long askedNanoseconds, long nowNanoseconds) {
    headReadFailed = false;
    long revision = head.map(ConfigurationHead::revision).orElse(0L);
    if (revision < revision()) {
      return List.of();
    }
    freshness.recordStoreConfirmation(new RevisionConfirmation(revision, askedNanoseconds));
    gossip.recordRevision(revision, nowNanoseconds);
    if (revision > revision() && revision != requestedRevision) {
      requestedRevision = revision;
      outbox.add(new Action.LoadConfiguration(head.orElseThrow()));
    }
    return outbox.drain();
  }

  /** Takes note that the platform's service did not answer. */
  public void headReadFailed(long askedNanoseconds) {
    headReadFailed = true;
    requestedRevision = 0;
    freshness.recordStoreFailure(askedNanoseconds);
  }

  /** Takes note that a configuration could not be loaded; the next head leads to a new attempt. */
  public void configurationLoadFailed() {
    requestedRevision = 0;
  }

  /** Takes a configuration that was loaded from the platform's service. */
  public List<Action> configurationLoaded(ConfigurationBundle candidate) {
    putInForce(candidate);
    return outbox.drain();
  }

  /**
   * Takes a configuration that was accepted through this instance and tells the relays of the zone.
   * Those of the other zones find it in the platform's service, so that the instance that accepts a
   * change need not hand it to each zone.
   */
  public List<Action> changeAccepted(ConfigurationBundle candidate) {
    putInForce(candidate);
    gossip.notifyAll(
        Relays.ranked(ownZone.members()).stream()
            .limit(Relays.RELAYS_PER_ZONE)
            .map(Member::instance)
            .filter(relay -> !relay.name().equals(self.name()))
            .toList());
    return outbox.drain();
  }

  /** Returns all other zones and the own one, as far as known. */
  public Set<String> zones() {
    Set<String> zones = new TreeSet<>(configuredZones);
    zones.addAll(otherZones.directory().zones());
    zones.add(self.availabilityZone());
    return zones;
  }

  /** Returns the word of the own zone. */
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
      case MembershipMessage.ZoneStateRequest question -> {
        receiveSample(question.sample(), true, nowNanoseconds);
        answerZoneStateRequest(sender, question.sequence(), nowNanoseconds, wallMilliseconds);
      }
      case MembershipMessage.ZoneStateResponse answer ->
          receiveZoneStateResponse(sender, answer, nowNanoseconds);
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
    Optional<OwnZone.HeartbeatResult> heard =
        ownZone.receiveHeartbeat(sender, heartbeat, nowNanoseconds);
    if (heard.isEmpty()) {
      return;
    }
    receivedFromPeer = true;
    if (heard.get().isNew()) {
      outbox.recordEvent(EventCode.PEER_ALIVE, sender.name(), "");
    }
    if (heard.get().isNew() && state == InstanceState.JOINING) {
      outbox.send(sender.name(), new MembershipMessage.SamplesRequest());
    }
    gossip.recordPeerRevision(sender, heartbeat.revision(), nowNanoseconds);
    OptionalLong sent = heard.get().sentNanoseconds();
    if (sent.isPresent()) {
      fromAged(heartbeat.storeRevision(), sent.getAsLong())
          .ifPresent(freshness::recordStoreConfirmation);
      fromAged(heartbeat.confirmedRevision(), sent.getAsLong())
          .ifPresent(freshness::recordConfirmation);
    }
  }

  private void answerZoneStateRequest(
      PeerIdentity sender, long echo, long nowNanoseconds, long wallMilliseconds) {
    List<ZoneReport> reports = new ArrayList<>(freshness.zoneReports());
    if (isRelay()) {
      reports.add(ownZoneReport(nowNanoseconds));
    }
    outbox.send(
        sender.name(),
        new MembershipMessage.ZoneStateResponse(
            echo,
            revision(),
            toAged(freshness.storeConfirmation(), nowNanoseconds),
            OtherZones.toAged(reports, nowNanoseconds),
            ownSample(wallMilliseconds)));
  }

  private void receiveZoneStateResponse(
      PeerIdentity sender, MembershipMessage.ZoneStateResponse answer, long nowNanoseconds) {
    OptionalLong sent = otherZones.sentAt(answer.echoedSequence());
    if (sent.isEmpty()) {
      return;
    }
    receivedFromPeer = true;
    receiveSample(answer.sample(), true, nowNanoseconds);
    gossip.recordPeerRevision(sender, answer.revision(), nowNanoseconds);
    fromAged(answer.storeRevision(), sent.getAsLong())
        .ifPresent(freshness::recordStoreConfirmation);
    answer
        .zoneReports()
        .forEach(word -> freshness.recordZoneReport(OtherZones.fromAged(word, sent.getAsLong())));
  }

  /** A sample from another zone that is news goes on to the own zone, once. */
  private void receiveSample(ZoneSample sample, boolean firstHand, long nowNanoseconds) {
    boolean news = otherZones.directory().recordSample(sample, firstHand, nowNanoseconds);
    if (news && firstHand) {
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
