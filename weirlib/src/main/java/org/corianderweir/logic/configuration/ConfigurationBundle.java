package org.corianderweir.logic.configuration;

import java.util.Map;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.configuration.ConfigurationIndex;

/**
 * A configuration as it is stored and sent.
 *
 * @param head the head
 * @param index the index
 * @param indexText text of the index, whose hash the head has
 * @param documentsByHash texts of the documents by their hash
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
