package org.corianderweir.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.membership.MembershipTable;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.MembershipMessage;

/** The full membership of the own availability zone, by direct heartbeats. */
final class OwnZone {
  static final Duration SILENCE = Duration.ofMillis(3_500);

  private static final int INTRODUCTION_PERIOD_BEATS = 30;

  private final EntryInstance self;
  private final MembershipTable table = new MembershipTable(SILENCE);
  private final Map<String, Peer> peers = new HashMap<>();
  private final SentTimes sentTimes;
  private int beats;

  /** What is known of one other instance of the zone. */
  private static final class Peer {
    private final EntryInstance instance;
    private long incarnation;
    private long heardSequence;
    private boolean knowsUs;
    private long answeredNanoseconds;
    private boolean answered;

    Peer(EntryInstance instance) {
      this.instance = instance;
    }
  }

  OwnZone(EntryInstance self, RandomGenerator random) {
    this.self = self;
    sentTimes = new SentTimes(random.nextInt(1 << 30));
  }

  List<Member> members() {
    return table.members();
  }

  Optional<EntryInstance> address(String name) {
    return Optional.ofNullable(peers.get(name)).map(peer -> peer.instance);
  }

  /** Sends a heartbeat to all instances that are known or listed. */
  List<Action> beat(
      Member own,
      MembershipMessage.Heartbeat content,
      Collection<EntryInstance> listed,
      long nowNanoseconds) {
    table.heard(own, nowNanoseconds);
    beats++;
    long sequence = sentTimes.next(nowNanoseconds);
    List<Action> actions = new ArrayList<>();
    for (EntryInstance target : targets(listed)) {
      Peer peer = peers.get(target.name());
      boolean introduce = peer == null || !peer.knowsUs || beats % INTRODUCTION_PERIOD_BEATS == 0;
      if (introduce) {
        actions.add(new Action.Send(target, new MembershipMessage.Introduction(self)));
      }
      long echo = peer == null ? 0 : peer.heardSequence;
      actions.add(
          new Action.Send(
              target,
              new MembershipMessage.Heartbeat(
                  sequence,
                  echo,
                  content.state(),
                  content.revision(),
                  content.fromStore(),
                  content.confirmed(),
                  content.timestamp())));
    }
    return actions;
  }

  /** Forgets silent instances and returns them; listed ones still get heartbeats. */
  List<Member> expire(long nowNanoseconds) {
    List<Member> silent = table.expire(nowNanoseconds);
    silent.forEach(member -> peers.remove(member.instance().name()));
    return silent;
  }

  void forgiveSilence(long nowNanoseconds) {
    table.forgiveSilence(nowNanoseconds);
  }

  void introduced(PeerIdentity sender, EntryInstance instance) {
    boolean honest =
        instance.name().equals(sender.name())
            && instance.availabilityZone().equals(self.availabilityZone());
    Peer known = peers.get(sender.name());
    if (honest && (known == null || !known.instance.equals(instance))) {
      peers.put(sender.name(), new Peer(instance));
    }
  }

  /** Whether a heartbeat told of a new instance, and when its echo was sent. */
  record Heard(boolean isNew, OptionalLong sentNanoseconds) {}

  Optional<Heard> heard(
      PeerIdentity sender, MembershipMessage.Heartbeat heartbeat, long nowNanoseconds) {
    Peer peer = peers.get(sender.name());
    if (peer == null || peer.incarnation > sender.incarnation()) {
      return Optional.empty();
    }
    if (peer.incarnation < sender.incarnation()) {
      peer.incarnation = sender.incarnation();
      peer.knowsUs = false;
    }
    peer.heardSequence = heartbeat.sequence();
    OptionalLong sent = sentTimes.sentAt(heartbeat.echo());
    if (sent.isPresent()) {
      peer.knowsUs = true;
      peer.answered = true;
      peer.answeredNanoseconds = sent.getAsLong();
    }
    Member member =
        new Member(peer.instance, sender.incarnation(), heartbeat.state(), heartbeat.revision());
    return Optional.of(new Heard(table.heard(member, nowNanoseconds), sent));
  }

  /** Returns whether an instance of the zone answered a heartbeat that was sent lately. */
  boolean hasTwoWayContact(long nowNanoseconds) {
    return peers.values().stream()
        .anyMatch(
            peer ->
                peer.answered && nowNanoseconds - peer.answeredNanoseconds <= SILENCE.toNanos());
  }

  private Collection<EntryInstance> targets(Collection<EntryInstance> listed) {
    Map<String, EntryInstance> targets = new LinkedHashMap<>();
    listed.forEach(instance -> targets.put(instance.name(), instance));
    peers.values().forEach(peer -> targets.put(peer.instance.name(), peer.instance));
    targets.remove(self.name());
    return targets.values();
  }
}
