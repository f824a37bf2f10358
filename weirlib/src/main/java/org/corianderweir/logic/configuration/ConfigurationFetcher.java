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
 * Fetches newer configurations from other entry instances, document by document. The revision in
 * force never decreases. If a message of an attempt is lost, the attempt times out, and the next
 * revision number announced by a peer starts a new one. Confined to the control thread.
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
    private final Set<String> missingHashes = new HashSet<>();
    private final Map<String, String> availableTexts = new HashMap<>();
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

  /**
   * Puts a configuration in force and ends the current attempt.
   *
   * @return false if the configuration is not newer than the one in force, which then stays
   */
  public boolean activate(ConfigurationBundle bundle) {
    if (bundle.head().revision() <= revision) {
      return false;
    }
    revision = bundle.head().revision();
    documentsByHash = bundle.documentsByHash();
    attempt = null;
    return true;
  }

  /** Returns a document of the configuration in force by its hash; empty if there is none. */
  public Optional<String> documentText(String hash) {
    return Optional.ofNullable(documentsByHash.get(hash));
  }

  /**
   * Handles the announcement that a peer has a revision. Starts to fetch it if it is newer than the
   * revision in force and no other attempt is active.
   *
   * @return the request to send, if an attempt was started
   */
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
   * Handles the head and index of a peer. The caller has verified that the index has the hash in
   * the head.
   *
   * @return requests for the documents that are missing here; empty if the head was not requested
   *     from this peer or is not newer
   */
  public List<FetchRequest> onHeadReceived(
      String peer, ConfigurationHead head, ConfigurationIndex index, String indexText) {
    Attempt current = attempt;
    boolean expected = current != null && current.peer.equals(peer) && current.partial == null;
    if (current == null || !expected || head.revision() <= revision) {
      return List.of();
    }
    current.partial = new ConfigurationBundle(head, index, indexText, Map.of());
    List<FetchRequest> requests = new ArrayList<>();
    for (DocumentReference reference : index.documents()) {
      String localText = documentsByHash.get(reference.hash());
      if (localText != null) {
        current.availableTexts.put(reference.hash(), localText);
      } else if (current.missingHashes.add(reference.hash())) {
        requests.add(new FetchRequest.FetchDocument(peer, reference.hash()));
      }
    }
    return requests;
  }

  /** Handles the text of a document; texts that were not requested are ignored. */
  public void onDocumentReceived(String text) {
    Attempt current = attempt;
    String hash = ContentHash.of(text);
    if (current != null && current.missingHashes.remove(hash)) {
      current.availableTexts.put(hash, text);
    }
  }

  /** Returns the configuration of the current attempt once all its documents have arrived. */
  public Optional<ConfigurationBundle> completedBundle() {
    Attempt current = attempt;
    if (current == null || current.partial == null || !current.missingHashes.isEmpty()) {
      return Optional.empty();
    }
    ConfigurationBundle partial = current.partial;
    return Optional.of(
        new ConfigurationBundle(
            partial.head(), partial.index(), partial.indexText(), current.availableTexts));
  }
}
