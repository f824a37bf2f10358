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

/** The complete membership of the own availability zone, tracked by direct heartbeats. */
final class OwnZone {
  static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(3_500);

  private static final int INTRODUCTION_PERIOD_HEARTBEATS = 30;

  private final EntryInstance self;
  private final MembershipTable table = new MembershipTable(HEARTBEAT_TIMEOUT);
  private final Map<String, Peer> peers = new HashMap<>();
  private final SentTimes sentTimes;
  private int heartbeatCount;

  /** Another instance of the zone and the heartbeats exchanged with it. */
  private static final class Peer {
    private final EntryInstance instance;
    private long incarnation;
    private long lastReceivedSequence;
    private boolean knowsThisInstance;
    private long echoedSentNanoseconds;
    private boolean hasEchoed;

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

  Optional<EntryInstance> findInstance(String name) {
    return Optional.ofNullable(peers.get(name)).map(peer -> peer.instance);
  }

  /** Sends a heartbeat to all instances that have introduced themselves or that are listed. */
  List<Action> sendHeartbeats(
      Member own,
      MembershipMessage.Heartbeat content,
      Collection<EntryInstance> listed,
      long nowNanoseconds) {
    table.recordHeartbeat(own, nowNanoseconds);
    heartbeatCount++;
    long sequence = sentTimes.recordSend(nowNanoseconds);
    List<Action> actions = new ArrayList<>();
    for (EntryInstance target : targets(listed)) {
      Peer peer = peers.get(target.name());
      boolean needsIntroduction =
          peer == null
              || !peer.knowsThisInstance
              || heartbeatCount % INTRODUCTION_PERIOD_HEARTBEATS == 0;
      if (needsIntroduction) {
        actions.add(new Action.Send(target, new MembershipMessage.Introduction(self)));
      }
      long echoedSequence = peer == null ? 0 : peer.lastReceivedSequence;
      actions.add(
          new Action.Send(
              target,
              new MembershipMessage.Heartbeat(
                  sequence,
                  echoedSequence,
                  content.state(),
                  content.revision(),
                  content.storeRevision(),
                  content.confirmedRevision(),
                  content.timestamp())));
    }
    return actions;
  }

  /**
   * Removes instances whose heartbeat timeout has passed and returns them. Instances on the
   * platform's list still get heartbeats.
   */
  List<Member> expire(long nowNanoseconds) {
    List<Member> expired = table.expire(nowNanoseconds);
    expired.forEach(member -> peers.remove(member.instance().name()));
    return expired;
  }

  void restartTimeouts(long nowNanoseconds) {
    table.restartTimeouts(nowNanoseconds);
  }

  void receiveIntroduction(PeerIdentity sender, EntryInstance instance) {
    boolean valid =
        instance.name().equals(sender.name())
            && instance.availabilityZone().equals(self.availabilityZone());
    Peer known = peers.get(sender.name());
    if (valid && (known == null || !known.instance.equals(instance))) {
      peers.put(sender.name(), new Peer(instance));
    }
  }

  /**
   * Whether a heartbeat came from a new instance, and when this instance sent the heartbeat that it
   * echoes.
   */
  record HeartbeatResult(boolean isNew, OptionalLong sentNanoseconds) {}

  Optional<HeartbeatResult> receiveHeartbeat(
      PeerIdentity sender, MembershipMessage.Heartbeat heartbeat, long nowNanoseconds) {
    Peer peer = peers.get(sender.name());
    if (peer == null || peer.incarnation > sender.incarnation()) {
      return Optional.empty();
    }
    peer.incarnation = sender.incarnation();
    peer.lastReceivedSequence = heartbeat.sequence();
    OptionalLong sent = sentTimes.sentAt(heartbeat.echoedSequence());
    peer.knowsThisInstance = sent.isPresent();
    if (sent.isPresent()) {
      peer.hasEchoed = true;
      peer.echoedSentNanoseconds = sent.getAsLong();
    }
    Member member =
        new Member(peer.instance, sender.incarnation(), heartbeat.state(), heartbeat.revision());
    return Optional.of(new HeartbeatResult(table.recordHeartbeat(member, nowNanoseconds), sent));
  }

  /**
   * Returns whether an instance of the zone has echoed a heartbeat that was sent within the
   * heartbeat timeout.
   */
  boolean hasTwoWayContact(long nowNanoseconds) {
    return peers.values().stream()
        .anyMatch(
            peer ->
                peer.hasEchoed
                    && nowNanoseconds - peer.echoedSentNanoseconds <= HEARTBEAT_TIMEOUT.toNanos());
  }

  private Collection<EntryInstance> targets(Collection<EntryInstance> listed) {
    Map<String, EntryInstance> targets = new LinkedHashMap<>();
    listed.forEach(instance -> targets.put(instance.name(), instance));
    peers.values().forEach(peer -> targets.put(peer.instance.name(), peer.instance));
    targets.remove(self.name());
    return targets.values();
  }
}
