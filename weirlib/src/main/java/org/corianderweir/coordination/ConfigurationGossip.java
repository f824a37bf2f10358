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
 * Distributes the configuration from instance to instance by gossip. An instance that has a new
 * revision announces it to a few others, which fetch the documents that they lack from it and
 * announce the revision in turn. The revisions in heartbeats repair lost announcements.
 */
final class ConfigurationGossip {
  private static final int GOSSIP_FANOUT_COUNT = 4;
  private static final long REPAIR_DELAY_NANOSECONDS = Duration.ofMillis(700).toNanos();
  private static final long BEHIND_TIMEOUT_NANOSECONDS = Duration.ofSeconds(10).toNanos();

  private final ConfigurationFetcher fetcher = new ConfigurationFetcher();
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
    return fetcher.revision();
  }

  Optional<ConfigurationBundle> bundle() {
    return bundle;
  }

  /** Returns the highest revision that this instance has ever learned of. */
  long highestKnownRevision() {
    return Math.max(highestKnownRevision, revision());
  }

  /** Returns whether this instance recently learned of a revision that it does not have yet. */
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
   * Records the revision that a peer has in force. The revision is fetched from the peer only if no
   * announcement has led to it for the repair delay. Otherwise all instances would send requests to
   * the first one that reports it.
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
    fetcher.onPeerRevision(peer.name(), revision, nowNanoseconds).ifPresent(this::sendRequest);
  }

  void receive(PeerIdentity sender, ConfigurationMessage message, long nowNanoseconds) {
    switch (message) {
      case ConfigurationMessage.RevisionAnnouncement announcement -> {
        recordRevision(announcement.revision(), nowNanoseconds);
        fetch(sender, announcement.revision(), nowNanoseconds);
      }
      case ConfigurationMessage.IndexRequest request ->
          bundle
              .filter(current -> current.head().revision() > request.knownRevision())
              .ifPresent(current -> sendIndex(sender, current));
      case ConfigurationMessage.IndexResponse response -> receiveIndex(sender, response);
      case ConfigurationMessage.DocumentRequest request ->
          fetcher
              .documentText(request.hash())
              .ifPresent(
                  text ->
                      outbox.send(sender.name(), new ConfigurationMessage.DocumentResponse(text)));
      case ConfigurationMessage.DocumentResponse document ->
          fetcher.onDocumentReceived(document.text());
    }
  }

  /** Returns the configuration that was fetched from peers, once it is complete. */
  Optional<ConfigurationBundle> fetched() {
    return fetcher.completedBundle();
  }

  /** Accepts a configuration as the one in force; returns false if it is not newer. */
  boolean acceptCandidate(ConfigurationBundle candidate) {
    if (!fetcher.activate(candidate)) {
      return false;
    }
    bundle = Optional.of(candidate);
    return true;
  }

  /** Announces the revision in force to a few of the given instances, chosen at random. */
  void announceToRandomPeers(Collection<EntryInstance> peers) {
    List<EntryInstance> shuffled = new ArrayList<>(peers);
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    announceTo(shuffled.subList(0, Math.min(GOSSIP_FANOUT_COUNT, shuffled.size())));
  }

  /** Announces the revision in force to all given instances. */
  void announceTo(Collection<EntryInstance> targets) {
    ConfigurationMessage announcement = new ConfigurationMessage.RevisionAnnouncement(revision());
    targets.forEach(target -> outbox.send(target, announcement));
  }

  private void sendIndex(PeerIdentity receiver, ConfigurationBundle current) {
    outbox.send(
        receiver.name(),
        new ConfigurationMessage.IndexResponse(current.head(), current.indexText()));
  }

  private void receiveIndex(PeerIdentity sender, ConfigurationMessage.IndexResponse response) {
    try {
      ConfigurationIndex index =
          ConfigurationDocuments.readIndex(response.head(), response.indexText());
      fetcher
          .onHeadReceived(sender.name(), response.head(), index, response.indexText())
          .forEach(this::sendRequest);
    } catch (WeirException invalid) {
      outbox.recordEvent(
          EventCode.CONFIGURATION_UNREADABLE, sender.name(), String.valueOf(invalid.getMessage()));
    }
  }

  private void sendRequest(FetchRequest wanted) {
    switch (wanted) {
      case FetchRequest.FetchHead request ->
          outbox.send(request.peer(), new ConfigurationMessage.IndexRequest(revision()));
      case FetchRequest.FetchDocument request ->
          outbox.send(request.peer(), new ConfigurationMessage.DocumentRequest(request.hash()));
    }
  }
}
