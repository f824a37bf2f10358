package org.corianderweir.protocol;

import org.corianderweir.model.configuration.ConfigurationHead;

/** Messages by which a configuration spreads. */
public sealed interface ConfigurationMessage extends PeerMessage {
  /**
   * Says that a revision is in force at the sender.
   *
   * @param revision the revision
   */
  record RevisionAnnouncement(long revision) implements ConfigurationMessage {}

  /**
   * Asks for the head and index if the receiver's revision is newer.
   *
   * @param knownRevision revision that the sender has
   */
  record IndexRequest(long knownRevision) implements ConfigurationMessage {}

  /**
   * Hands on the head and index in force at the sender.
   *
   * @param head the head
   * @param indexText text of the index
   */
  record IndexResponse(ConfigurationHead head, String indexText) implements ConfigurationMessage {}

  /**
   * Asks for a document.
   *
   * @param hash its hash
   */
  record DocumentRequest(String hash) implements ConfigurationMessage {}

  /**
   * Hands on a document.
   *
   * @param text its text
   */
  record DocumentResponse(String text) implements ConfigurationMessage {}
}
