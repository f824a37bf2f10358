package org.corianderweir.model.configuration;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The index of a revision: references to its documents and to earlier revisions.
 *
 * @param change change that made the revision
 * @param documents references to the documents, in order
 * @param history earlier revisions, the latest first
 */
public record ConfigurationIndex(
    AcceptedChange change, List<DocumentReference> documents, List<PastRevision> history) {
  /** Largest number of earlier revisions in the history. */
  public static final int HISTORY_LENGTH = 20;

  /** Copies the lists. */
  public ConfigurationIndex {
    documents = List.copyOf(documents);
    history = List.copyOf(history);
  }

  /** Finds the change of this or an earlier revision by its identifier. */
  public Optional<AcceptedChange> find(String operation) {
    return Stream.concat(Stream.of(change), history.stream().map(PastRevision::change))
        .filter(accepted -> accepted.operation().equals(operation))
        .findFirst();
  }

  /**
   * Returns the history of the next revision.
   *
   * @param ownHash hash of this index
   */
  public List<PastRevision> nextHistory(String ownHash) {
    return Stream.concat(Stream.of(new PastRevision(change, ownHash)), history.stream())
        .limit(HISTORY_LENGTH)
        .toList();
  }
}
