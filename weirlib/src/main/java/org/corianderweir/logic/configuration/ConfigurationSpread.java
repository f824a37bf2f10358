package org.corianderweir.logic.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.ConfigurationIndex;
import org.corianderweir.model.configuration.DocumentReference;
import org.jspecify.annotations.Nullable;

/**
 * Fetches newer configurations from other entry instances, document by document, and never goes
 * back to an older one. Lost messages are mended by the next revision number that is heard. Used by
 * the control thread alone.
 */
public final class ConfigurationSpread {
  private static final long ATTEMPT_NANOSECONDS = Duration.ofMillis(1_500).toNanos();

  private Map<String, String> texts = Map.of();
  private long revision;
  private @Nullable Attempt attempt;

  /** One attempt to fetch a configuration from a peer. */
  private static final class Attempt {
    private final String peer;
    private final long startNanoseconds;
    private final Set<String> missing = new HashSet<>();
    private final Map<String, String> found = new HashMap<>();
    private @Nullable ConfigurationBundle partial;

    Attempt(String peer, long startNanoseconds) {
      this.peer = peer;
      this.startNanoseconds = startNanoseconds;
    }
  }

  /** Returns the revision in force. */
  public long revision() {
    return revision;
  }

  /** Takes a configuration as the one in force; returns false if it is not newer. */
  public boolean adopt(ConfigurationBundle bundle) {
    if (bundle.head().revision() <= revision) {
      return false;
    }
    revision = bundle.head().revision();
    texts = bundle.texts();
    attempt = null;
    return true;
  }

  /** Returns the text of a document of the configuration in force. */
  public Optional<String> text(String hash) {
    return Optional.ofNullable(texts.get(hash));
  }

  /** Takes note that a peer has a revision; begins to fetch it if it is newer. */
  public Optional<SpreadAction> heard(String peer, long peerRevision, long nowNanoseconds) {
    Attempt current = attempt;
    boolean busy =
        current != null && nowNanoseconds - current.startNanoseconds < ATTEMPT_NANOSECONDS;
    if (peerRevision <= revision || busy) {
      return Optional.empty();
    }
    attempt = new Attempt(peer, nowNanoseconds);
    return Optional.of(new SpreadAction.AskForHead(peer));
  }

  /**
   * Takes a peer's head and index, which the caller has checked against each other.
   *
   * @return documents to ask for; empty if the offer was not asked for or is not newer
   */
  public List<SpreadAction> offered(
      String peer, ConfigurationHead head, ConfigurationIndex index, String indexText) {
    Attempt current = attempt;
    boolean wanted = current != null && current.peer.equals(peer) && current.partial == null;
    if (current == null || !wanted || head.revision() <= revision) {
      return List.of();
    }
    current.partial = new ConfigurationBundle(head, index, indexText, Map.of());
    List<SpreadAction> actions = new ArrayList<>();
    for (DocumentReference reference : index.documents()) {
      String known = texts.get(reference.hash());
      if (known != null) {
        current.found.put(reference.hash(), known);
      } else if (current.missing.add(reference.hash())) {
        actions.add(new SpreadAction.AskForDocument(peer, reference.hash()));
      }
    }
    return actions;
  }

  /** Takes the text of a document; texts that were not asked for are ignored. */
  public void document(String text) {
    Attempt current = attempt;
    String hash = ContentHash.of(text);
    if (current != null && current.missing.remove(hash)) {
      current.found.put(hash, text);
    }
  }

  /** Returns the configuration that is being fetched, once it is whole. */
  public Optional<ConfigurationBundle> whole() {
    Attempt current = attempt;
    if (current == null || current.partial == null || !current.missing.isEmpty()) {
      return Optional.empty();
    }
    ConfigurationBundle partial = current.partial;
    return Optional.of(
        new ConfigurationBundle(
            partial.head(), partial.index(), partial.indexText(), current.found));
  }
}
