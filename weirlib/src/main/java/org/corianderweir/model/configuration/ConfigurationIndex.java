package org.corianderweir.model.configuration;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The documents that make up a revision, and the revisions before it.
 *
 * @param change the change that made the revision
 * @param documents the documents, in order
 * @param history former revisions, the latest first
 */
public record ConfigurationIndex(
    AcceptedChange change, List<DocumentReference> documents, List<PastRevision> history) {
  /** Number of former revisions that are kept. */
  public static final int HISTORY_LENGTH = 20;

  /** Copies the lists. */
  public ConfigurationIndex {
    documents = List.copyOf(documents);
    history = List.copyOf(history);
  }

  /** Finds a change, this one or a former one, by its identifier. */
  public Optional<AcceptedChange> find(String operation) {
    return Stream.concat(Stream.of(change), history.stream().map(PastRevision::change))
        .filter(known -> known.operation().equals(operation))
        .findFirst();
  }

  /** Returns the history of the revision that follows this one. */
  public List<PastRevision> nextHistory(String ownHash) {
    return Stream.concat(Stream.of(new PastRevision(change, ownHash)), history.stream())
        .limit(HISTORY_LENGTH)
        .toList();
  }
}
