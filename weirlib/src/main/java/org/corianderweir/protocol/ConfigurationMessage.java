package org.corianderweir.protocol;

import org.corianderweir.model.configuration.ConfigurationHead;

/** Messages that distribute the configuration among the entry instances. */
public sealed interface ConfigurationMessage extends PeerMessage {
  /**
   * Announces the revision that is in force at the sender.
   *
   * @param revision the revision
   */
  record RevisionAnnouncement(long revision) implements ConfigurationMessage {}

  /**
   * Requests the head and index. The receiver answers only if its revision is newer.
   *
   * @param knownRevision revision that the sender already has
   */
  record IndexRequest(long knownRevision) implements ConfigurationMessage {}

  /**
   * Contains the head and index in force at the sender.
   *
   * @param head head of the configuration
   * @param indexText JSON text of the index
   */
  record IndexResponse(ConfigurationHead head, String indexText) implements ConfigurationMessage {}

  /**
   * Requests a document. The receiver answers only if it has the document.
   *
   * @param hash content hash of the document
   */
  record DocumentRequest(String hash) implements ConfigurationMessage {}

  /**
   * Contains a document.
   *
   * @param text JSON text of the document
   */
  record DocumentResponse(String text) implements ConfigurationMessage {}
}
