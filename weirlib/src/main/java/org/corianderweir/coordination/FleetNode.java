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
import org.corianderweir.logic.keys.Confirmation;
import org.corianderweir.logic.keys.KeyFreshness;
import org.corianderweir.logic.keys.ZoneWord;
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
import org.corianderweir.protocol.FleetMessage;
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
  public static final Duration PERIOD = Duration.ofSeconds(1);

  private static final Duration PAUSE_LIMIT = Duration.ofMillis(2_500);
  private static final Duration JOIN_LIMIT = Duration.ofSeconds(3);

  private static final int LIST_PERIOD_TICKS = 5;

  private final EntryInstance self;
  private final long incarnation;
  private final Outbox outbox;
  private final OwnZone ownZone;
  private final OtherZones otherZones;
  private final ConfigurationExchange exchange;
  private final KeyFreshness freshness;
  private final long startNanoseconds;
  private Set<String> configuredZones = Set.of();
  private InstanceState state = InstanceState.JOINING;
  private long tickNanoseconds;
  private boolean heardPeer;
  private boolean storeFailed;
  private long loadingRevision;
  private long ticks;

  /** Creates a node that has just started. */
  public FleetNode(
      EntryInstance self, long incarnation, RandomGenerator random, long nowNanoseconds) {
    this.self = self;
    this.incarnation = incarnation;
    outbox = new Outbox(self.name(), this::address);
    ownZone = new OwnZone(self, random);
    otherZones = new OtherZones(self.availabilityZone(), random);
    exchange = new ConfigurationExchange(outbox, random);
    freshness = new KeyFreshness(self.availabilityZone());
    startNanoseconds = nowNanoseconds;
    tickNanoseconds = nowNanoseconds;
  }

  /** Returns the state of this instance. */
  public InstanceState state() {
    return state;
  }

  /** Returns the revision in force. */
  public long revision() {
    return exchange.revision();
  }

  /** Returns the configuration in force as it is sent and stored; absent before the first. */
  public Optional<ConfigurationBundle> bundle() {
    return exchange.bundle();
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
            && otherZones.directory().listedInOwnZone().stream()
                .allMatch(listed -> listed.name().equals(self.name()));
    return alone || ownZone.hasTwoWayContact(nowNanoseconds);
  }

  /** Takes the platform's list of instances as a hint. */
  public void listed(Collection<ListedInstance> instances) {
    otherZones.directory().hint(instances);
  }

  /** Begins to leave; the next tick tells the others. */
  public void leave() {
    state = InstanceState.LEAVING;
  }

  /** Runs once in each period. */
  public List<Action> tick(long nowNanoseconds, HybridTimestamp timestamp) {
    noticePause(nowNanoseconds);
    joinIfReady(nowNanoseconds);
    beat(nowNanoseconds, timestamp);
    for (Member silent : ownZone.expire(nowNanoseconds)) {
      outbox.event(EventCode.PEER_SILENT, silent.instance().name(), "");
    }
    otherZones.directory().expire(nowNanoseconds);
    if (isRelay()) {
      otherZones.ask(ownSample(timestamp.wallMilliseconds()), nowNanoseconds).forEach(outbox::add);
    }
    boolean joining = state == InstanceState.JOINING;
    if (isRelay() || joining) {
      outbox.add(new Action.ReadHead());
    }
    ticks++;
    if (joining || (isRelay() && ticks % LIST_PERIOD_TICKS == 0)) {
      outbox.add(new Action.ReadList());
    }
    freshness.concludeIfNobodyHasContact(zones(), nowNanoseconds);
    return outbox.drain();
  }

  /** Takes a message of another instance. */
  public List<Action> received(
      PeerIdentity sender, PeerMessage message, long nowNanoseconds, long wallMilliseconds) {
    switch (message) {
      case MembershipMessage membership ->
          receiveMembership(sender, membership, nowNanoseconds, wallMilliseconds);
      case ConfigurationMessage configuration -> {
        exchange.receive(sender, configuration, nowNanoseconds);
        exchange.fetched().ifPresent(this::putInForce);
      }
      case LimitMessage limit -> {
        // The limits have a state machine of their own.
      }
      case FleetMessage fleet -> {
        // Demand is shared only by instances that follow the platform's store.
      }
    }
    return outbox.drain();
  }

  /** Takes the head that the platform's service answered; absent if there is none yet. */
  public List<Action> storeAnswered(
      Optional<ConfigurationHead> head, long askedNanoseconds, long nowNanoseconds) {
    storeFailed = false;
    long revision = head.map(ConfigurationHead::revision).orElse(0L);
    if (revision < revision()) {
      return List.of();
    }
    freshness.storeConfirmed(new Confirmation(revision, askedNanoseconds));
    exchange.heardOf(revision, nowNanoseconds);
    if (revision > revision() && revision != loadingRevision) {
      loadingRevision = revision;
      outbox.add(new Action.Load(head.orElseThrow()));
    }
    return outbox.drain();
  }

  /** Takes note that the platform's service did not answer. */
  public void storeFailed(long askedNanoseconds) {
    storeFailed = true;
    loadingRevision = 0;
    freshness.storeFailed(askedNanoseconds);
  }

  /** Takes note that a configuration could not be loaded; the next head leads to a new attempt. */
  public void loadFailed() {
    loadingRevision = 0;
  }

  /** Takes a configuration that was loaded from the platform's service. */
  public List<Action> loaded(ConfigurationBundle candidate) {
    putInForce(candidate);
    return outbox.drain();
  }

  /**
   * Takes a configuration that was accepted through this instance and tells the relays of the zone.
   * Those of the other zones find it in the platform's service, so that the instance that accepts a
   * change need not hand it to each zone.
   */
  public List<Action> accepted(ConfigurationBundle candidate) {
    putInForce(candidate);
    exchange.notifyAll(
        Relays.ranked(ownZone.members()).stream()
            .limit(Relays.COUNT)
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
  public ZoneWord ownWord(long nowNanoseconds) {
    long lowest = ownZone.members().stream().mapToLong(Member::revision).min().orElse(revision());
    return new ZoneWord(
        self.availabilityZone(),
        lowest,
        exchange.highestHeard(),
        freshness.hasStoreContact(nowNanoseconds),
        nowNanoseconds);
  }

  private void noticePause(long nowNanoseconds) {
    long gap = nowNanoseconds - tickNanoseconds;
    tickNanoseconds = nowNanoseconds;
    if (gap > PAUSE_LIMIT.toNanos()) {
      ownZone.forgiveSilence(nowNanoseconds);
      String length = Duration.ofNanos(gap).toMillis() + " ms";
      outbox.event(EventCode.CONTROL_PAUSED, self.name(), length);
    }
  }

  private void joinIfReady(long nowNanoseconds) {
    boolean waiting = revision() == 0 || exchange.isBehind(nowNanoseconds);
    if (state != InstanceState.JOINING || waiting) {
      return;
    }
    boolean listened = nowNanoseconds - startNanoseconds >= JOIN_LIMIT.toNanos();
    boolean peersAgree = storeFailed && listened && heardPeer;
    if (freshness.usable().isPresent() || peersAgree) {
      state = InstanceState.SERVING;
    }
  }

  private void beat(long nowNanoseconds, HybridTimestamp timestamp) {
    Member own = new Member(self, incarnation, state, revision());
    MembershipMessage.Heartbeat content =
        new MembershipMessage.Heartbeat(
            0,
            0,
            state,
            revision(),
            aged(freshness.fromStore(), nowNanoseconds),
            aged(freshness.usable(), nowNanoseconds),
            timestamp);
    ownZone
        .beat(own, content, otherZones.directory().listedInOwnZone(), nowNanoseconds)
        .forEach(outbox::add);
  }

  private void receiveMembership(
      PeerIdentity sender, MembershipMessage message, long nowNanoseconds, long wallMilliseconds) {
    switch (message) {
      case MembershipMessage.Introduction introduction ->
          ownZone.introduced(sender, introduction.instance());
      case MembershipMessage.Heartbeat heartbeat ->
          receiveHeartbeat(sender, heartbeat, nowNanoseconds);
      case MembershipMessage.ZoneQuestion question -> {
        receiveSample(question.sample(), true, nowNanoseconds);
        answer(sender, question.sequence(), nowNanoseconds, wallMilliseconds);
      }
      case MembershipMessage.ZoneAnswer answer -> receiveAnswer(sender, answer, nowNanoseconds);
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
    Optional<OwnZone.Heard> heard = ownZone.heard(sender, heartbeat, nowNanoseconds);
    if (heard.isEmpty()) {
      return;
    }
    heardPeer = true;
    if (heard.get().isNew()) {
      outbox.event(EventCode.PEER_ALIVE, sender.name(), "");
    }
    if (heard.get().isNew() && state == InstanceState.JOINING) {
      outbox.send(sender.name(), new MembershipMessage.SamplesRequest());
    }
    exchange.peerHas(sender, heartbeat.revision(), nowNanoseconds);
    OptionalLong sent = heard.get().sentNanoseconds();
    if (sent.isPresent()) {
      dated(heartbeat.fromStore(), sent.getAsLong()).ifPresent(freshness::storeConfirmed);
      dated(heartbeat.confirmed(), sent.getAsLong()).ifPresent(freshness::confirmed);
    }
  }

  private void answer(PeerIdentity sender, long echo, long nowNanoseconds, long wallMilliseconds) {
    List<ZoneWord> words = new ArrayList<>(freshness.words());
    if (isRelay()) {
      words.add(ownWord(nowNanoseconds));
    }
    outbox.send(
        sender.name(),
        new MembershipMessage.ZoneAnswer(
            echo,
            revision(),
            aged(freshness.fromStore(), nowNanoseconds),
            OtherZones.aged(words, nowNanoseconds),
            ownSample(wallMilliseconds)));
  }

  private void receiveAnswer(
      PeerIdentity sender, MembershipMessage.ZoneAnswer answer, long nowNanoseconds) {
    OptionalLong sent = otherZones.sentAt(answer.echo());
    if (sent.isEmpty()) {
      return;
    }
    heardPeer = true;
    receiveSample(answer.sample(), true, nowNanoseconds);
    exchange.peerHas(sender, answer.revision(), nowNanoseconds);
    dated(answer.fromStore(), sent.getAsLong()).ifPresent(freshness::storeConfirmed);
    answer.words().forEach(word -> freshness.heard(OtherZones.dated(word, sent.getAsLong())));
  }

  /** A sample from another zone that is news goes on to the own zone, once. */
  private void receiveSample(ZoneSample sample, boolean firstHand, long nowNanoseconds) {
    boolean news = otherZones.directory().heard(sample, firstHand, nowNanoseconds);
    if (news && firstHand) {
      MembershipMessage message = new MembershipMessage.Sample(sample);
      peersOfZone().forEach(peer -> outbox.send(peer, message));
    }
  }

  private void putInForce(ConfigurationBundle candidate) {
    if (candidate.head().revision() <= revision()) {
      return;
    }
    try {
      Configuration content =
          ConfigurationDocuments.assemble(
              candidate.index(), hash -> Optional.ofNullable(candidate.texts().get(hash)));
      exchange.adopt(candidate);
      freshness.adopted(candidate.head().revision());
      configuredZones =
          content.zones().stream().map(AvailabilityZone::name).collect(Collectors.toSet());
      outbox.add(new Action.PutInForce(candidate, content));
      exchange.notifySome(peersOfZone());
    } catch (WeirException unreadable) {
      outbox.event(
          EventCode.CONFIGURATION_UNREADABLE,
          "revision-" + candidate.head().revision(),
          String.valueOf(unreadable.getMessage()));
    }
  }

  private List<EntryInstance> peersOfZone() {
    return ownZone.members().stream()
        .map(Member::instance)
        .filter(instance -> !instance.name().equals(self.name()))
        .toList();
  }

  private Optional<EntryInstance> address(String name) {
    return ownZone.address(name).or(() -> otherZones.directory().address(name));
  }

  private ZoneSample ownSample(long wallMilliseconds) {
    return ZoneSample.of(self.availabilityZone(), wallMilliseconds, ownZone.members());
  }

  private static AgedRevision aged(Optional<Confirmation> confirmation, long nowNanoseconds) {
    return confirmation
        .map(
            known ->
                new AgedRevision(
                    known.revision(),
                    OtherZones.ageMilliseconds(known.momentNanoseconds(), nowNanoseconds)))
        .orElse(AgedRevision.NONE);
  }

  private static Optional<Confirmation> dated(AgedRevision revision, long sentNanoseconds) {
    return revision.ageMilliseconds() == AgedRevision.NEVER
        ? Optional.empty()
        : Optional.of(
            new Confirmation(
                revision.revision(),
                OtherZones.moment(revision.ageMilliseconds(), sentNanoseconds)));
  }
}
