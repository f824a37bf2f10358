package org.corianderweir.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.logic.configuration.ConfigurationFetcher;
import org.corianderweir.logic.configuration.FetchRequest;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.ConfigurationIndex;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.corianderweir.protocol.ConfigurationMessage;

/**
 * Hands the configuration on from instance to instance: who has a new one tells a few others, who
 * fetch what they lack from it, and so on; the revisions in heartbeats mend what gets lost.
 */
final class ConfigurationGossip {
  private static final int GOSSIP_FANOUT_COUNT = 4;
  private static final long REPAIR_DELAY_NANOSECONDS = Duration.ofMillis(700).toNanos();
  private static final long BEHIND_TIMEOUT_NANOSECONDS = Duration.ofSeconds(10).toNanos();

  private final ConfigurationFetcher spread = new ConfigurationFetcher();
  private final Outbox outbox;
  private final RandomGenerator random;
  private Optional<ConfigurationBundle> bundle = Optional.empty();
  private long missingRevision;
  private long missingSinceNanoseconds;
  private long highestKnownRevision;
  private long highestKnownNanoseconds;

  ConfigurationGossip(Outbox outbox, RandomGenerator random) {
    this.outbox = outbox;
    this.random = random;
  }

  long revision() {
    return spread.revision();
  }

  Optional<ConfigurationBundle> bundle() {
    return bundle;
  }

  /** Returns the highest revision that anyone ever spoke of. */
  long highestKnownRevision() {
    return Math.max(highestKnownRevision, revision());
  }

  /** Returns whether somebody spoke lately of a revision that is not here yet. */
  boolean isBehind(long nowNanoseconds) {
    return highestKnownRevision > revision()
        && nowNanoseconds - highestKnownNanoseconds <= BEHIND_TIMEOUT_NANOSECONDS;
  }

  void recordRevision(long revision, long nowNanoseconds) {
    if (revision >= highestKnownRevision) {
      highestKnownRevision = revision;
      highestKnownNanoseconds = nowNanoseconds;
    }
  }

  /**
   * Takes note of the revision that an instance has in force. It is fetched only if no notice has
   * led to it for a while: else all instances would ask the first one that speaks of it.
   */
  void recordPeerRevision(PeerIdentity peer, long revision, long nowNanoseconds) {
    recordRevision(revision, nowNanoseconds);
    if (revision <= revision()) {
      return;
    }
    if (missingRevision <= revision()) {
      missingRevision = revision;
      missingSinceNanoseconds = nowNanoseconds;
    } else if (nowNanoseconds - missingSinceNanoseconds >= REPAIR_DELAY_NANOSECONDS) {
      fetch(peer, revision, nowNanoseconds);
    }
  }

  private void fetch(PeerIdentity peer, long revision, long nowNanoseconds) {
    spread.onPeerRevision(peer.name(), revision, nowNanoseconds).ifPresent(this::sendRequest);
  }

  void receive(PeerIdentity sender, ConfigurationMessage message, long nowNanoseconds) {
    switch (message) {
      case ConfigurationMessage.RevisionAnnouncement notice -> {
        recordRevision(notice.revision(), nowNanoseconds);
        fetch(sender, notice.revision(), nowNanoseconds);
      }
      case ConfigurationMessage.IndexRequest request ->
          bundle
              .filter(current -> current.head().revision() > request.knownRevision())
              .ifPresent(current -> sendIndex(sender, current));
      case ConfigurationMessage.IndexResponse offer -> receiveOffer(sender, offer);
      case ConfigurationMessage.DocumentRequest request ->
          spread
              .documentText(request.hash())
              .ifPresent(
                  text ->
                      outbox.send(sender.name(), new ConfigurationMessage.DocumentResponse(text)));
      case ConfigurationMessage.DocumentResponse document ->
          spread.onDocumentReceived(document.text());
    }
  }

  /** Returns the configuration that was being fetched, once it is whole. */
  Optional<ConfigurationBundle> fetched() {
    return spread.completedBundle();
  }

  /** Takes a configuration as the one in force; returns false if it is not newer. */
  boolean acceptCandidate(ConfigurationBundle candidate) {
    if (!spread.activate(candidate)) {
      return false;
    }
    bundle = Optional.of(candidate);
    return true;
  }

  /** Tells some instances of the own zone that the revision in force is new. */
  void announceToRandomPeers(Collection<EntryInstance> peers) {
    List<EntryInstance> shuffled = new ArrayList<>(peers);
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    notifyAll(shuffled.subList(0, Math.min(GOSSIP_FANOUT_COUNT, shuffled.size())));
  }

  /** Tells instances that the revision in force is new. */
  void notifyAll(Collection<EntryInstance> targets) {
    ConfigurationMessage notice = new ConfigurationMessage.RevisionAnnouncement(revision());
    targets.forEach(target -> outbox.send(target, notice));
  }

  private void sendIndex(PeerIdentity receiver, ConfigurationBundle current) {
    outbox.send(
        receiver.name(),
        new ConfigurationMessage.IndexResponse(current.head(), current.indexText()));
  }

  private void receiveOffer(PeerIdentity sender, ConfigurationMessage.IndexResponse offer) {
    try {
      ConfigurationIndex index = ConfigurationDocuments.readIndex(offer.head(), offer.indexText());
      spread
          .onHeadReceived(sender.name(), offer.head(), index, offer.indexText())
          .forEach(this::sendRequest);
    } catch (WeirException invalid) {
      outbox.recordEvent(
          EventCode.CONFIGURATION_UNREADABLE, sender.name(), String.valueOf(invalid.getMessage()));
    }
  }

  private void sendRequest(FetchRequest wanted) {
    switch (wanted) {
      case FetchRequest.FetchHead ask ->
          outbox.send(ask.peer(), new ConfigurationMessage.IndexRequest(revision()));
      case FetchRequest.FetchDocument ask ->
          outbox.send(ask.peer(), new ConfigurationMessage.DocumentRequest(ask.hash()));
    }
  }
}
