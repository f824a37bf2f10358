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
import org.corianderweir.logic.configuration.ConfigurationSpread;
import org.corianderweir.logic.configuration.SpreadAction;
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
final class ConfigurationExchange {
  private static final int NOTICES = 4;
  private static final long MEMORY_NANOSECONDS = Duration.ofSeconds(10).toNanos();

  private final ConfigurationSpread spread = new ConfigurationSpread();
  private final Outbox outbox;
  private final RandomGenerator random;
  private Optional<ConfigurationBundle> bundle = Optional.empty();
  private long highestHeard;
  private long highestHeardNanoseconds;

  ConfigurationExchange(Outbox outbox, RandomGenerator random) {
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
  long highestHeard() {
    return Math.max(highestHeard, revision());
  }

  /** Returns whether somebody spoke lately of a revision that is not here yet. */
  boolean isBehind(long nowNanoseconds) {
    return highestHeard > revision()
        && nowNanoseconds - highestHeardNanoseconds <= MEMORY_NANOSECONDS;
  }

  void heardOf(long revision, long nowNanoseconds) {
    if (revision >= highestHeard) {
      highestHeard = revision;
      highestHeardNanoseconds = nowNanoseconds;
    }
  }

  /** Takes note of the revision that an instance has, and fetches it if it is newer. */
  void peerHas(PeerIdentity peer, long revision, long nowNanoseconds) {
    heardOf(revision, nowNanoseconds);
    spread.heard(peer.name(), revision, nowNanoseconds).ifPresent(this::ask);
  }

  void receive(PeerIdentity sender, ConfigurationMessage message, long nowNanoseconds) {
    switch (message) {
      case ConfigurationMessage.Notice notice -> peerHas(sender, notice.revision(), nowNanoseconds);
      case ConfigurationMessage.Request request ->
          bundle
              .filter(current -> current.head().revision() > request.knownRevision())
              .ifPresent(current -> offer(sender, current));
      case ConfigurationMessage.Offer offer -> receiveOffer(sender, offer);
      case ConfigurationMessage.DocumentRequest request ->
          spread
              .text(request.hash())
              .ifPresent(
                  text -> outbox.send(sender.name(), new ConfigurationMessage.Document(text)));
      case ConfigurationMessage.Document document -> spread.document(document.text());
    }
  }

  /** Returns the configuration that was being fetched, once it is whole. */
  Optional<ConfigurationBundle> fetched() {
    return spread.whole();
  }

  /** Takes a configuration as the one in force; returns false if it is not newer. */
  boolean adopt(ConfigurationBundle candidate) {
    if (!spread.adopt(candidate)) {
      return false;
    }
    bundle = Optional.of(candidate);
    return true;
  }

  /** Tells some instances of the own zone that the revision in force is new. */
  void notifySome(Collection<EntryInstance> peers) {
    List<EntryInstance> shuffled = new ArrayList<>(peers);
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    notifyAll(shuffled.subList(0, Math.min(NOTICES, shuffled.size())));
  }

  /** Tells instances that the revision in force is new. */
  void notifyAll(Collection<EntryInstance> targets) {
    ConfigurationMessage notice = new ConfigurationMessage.Notice(revision());
    targets.forEach(target -> outbox.send(target, notice));
  }

  private void offer(PeerIdentity receiver, ConfigurationBundle current) {
    outbox.send(
        receiver.name(), new ConfigurationMessage.Offer(current.head(), current.indexText()));
  }

  private void receiveOffer(PeerIdentity sender, ConfigurationMessage.Offer offer) {
    try {
      ConfigurationIndex index = ConfigurationDocuments.readIndex(offer.head(), offer.indexText());
      spread.offered(sender.name(), offer.head(), index, offer.indexText()).forEach(this::ask);
    } catch (WeirException invalid) {
      outbox.event(
          EventCode.CONFIGURATION_UNREADABLE, sender.name(), String.valueOf(invalid.getMessage()));
    }
  }

  private void ask(SpreadAction wanted) {
    switch (wanted) {
      case SpreadAction.AskForHead ask ->
          outbox.send(ask.peer(), new ConfigurationMessage.Request(revision()));
      case SpreadAction.AskForDocument ask ->
          outbox.send(ask.peer(), new ConfigurationMessage.DocumentRequest(ask.hash()));
    }
  }
}
