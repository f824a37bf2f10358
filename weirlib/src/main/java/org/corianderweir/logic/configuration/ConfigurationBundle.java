package org.corianderweir.logic.configuration;

import java.util.Map;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.ConfigurationIndex;

/**
 * A configuration in the form in which it is stored and sent: a head, an index and documents, which
 * are addressed by their hashes.
 *
 * @param head head, which refers to the index by its hash
 * @param index index, which refers to the documents by their hashes
 * @param indexText text of the index, from which the hash in the head is computed
 * @param documentsByHash texts of the documents by hash
 */
public record ConfigurationBundle(
    ConfigurationHead head,
    ConfigurationIndex index,
    String indexText,
    Map<String, String> documentsByHash) {
  /** Copies the map. */
  public ConfigurationBundle {
    documentsByHash = Map.copyOf(documentsByHash);
  }
}
