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
public final class ConfigurationFetcher {
  private static final long ATTEMPT_TIMEOUT_NANOSECONDS = Duration.ofMillis(1_500).toNanos();

  private Map<String, String> documentsByHash = Map.of();
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
  public boolean activate(ConfigurationBundle bundle) {
    if (bundle.head().revision() <= revision) {
      return false;
    }
    revision = bundle.head().revision();
    documentsByHash = bundle.documentsByHash();
    attempt = null;
    return true;
  }

  /** Returns the text of a document of the configuration in force. */
  public Optional<String> documentText(String hash) {
    return Optional.ofNullable(documentsByHash.get(hash));
  }

  /** Takes note that a peer has a revision; begins to fetch it if it is newer. */
  public Optional<FetchRequest> onPeerRevision(
      String peer, long peerRevision, long nowNanoseconds) {
    Attempt current = attempt;
    boolean attemptActive =
        current != null && nowNanoseconds - current.startNanoseconds < ATTEMPT_TIMEOUT_NANOSECONDS;
    if (peerRevision <= revision || attemptActive) {
      return Optional.empty();
    }
    attempt = new Attempt(peer, nowNanoseconds);
    return Optional.of(new FetchRequest.FetchHead(peer));
  }

  /**
   * Takes a peer's head and index, which the caller has checked against each other.
   *
   * @return documents to ask for; empty if the offer was not asked for or is not newer
   */
  public List<FetchRequest> onHeadReceived(
      String peer, ConfigurationHead head, ConfigurationIndex index, String indexText) {
    Attempt current = attempt;
    boolean expected = current != null && current.peer.equals(peer) && current.partial == null;
    if (current == null || !expected || head.revision() <= revision) {
      return List.of();
    }
    current.partial = new ConfigurationBundle(head, index, indexText, Map.of());
    List<FetchRequest> actions = new ArrayList<>();
    for (DocumentReference reference : index.documents()) {
      String known = documentsByHash.get(reference.hash());
      if (known != null) {
        current.found.put(reference.hash(), known);
      } else if (current.missing.add(reference.hash())) {
        actions.add(new FetchRequest.FetchDocument(peer, reference.hash()));
      }
    }
    return actions;
  }

  /** Takes the text of a document; texts that were not asked for are ignored. */
  public void onDocumentReceived(String text) {
    Attempt current = attempt;
    String hash = ContentHash.of(text);
    if (current != null && current.missing.remove(hash)) {
      current.found.put(hash, text);
    }
  }

  /** Returns the configuration that is being fetched, once it is whole. */
  public Optional<ConfigurationBundle> completedBundle() {
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
