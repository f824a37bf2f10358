package org.corianderweir.logic.configuration;

/** A request to a peer for a part of a newer configuration. */
public sealed interface FetchRequest {
  /**
   * Requests the head and index of the configuration that a peer has in force.
   *
   * @param peer name of the entry instance
   */
  record FetchHead(String peer) implements FetchRequest {}

  /**
   * Requests a document from a peer.
   *
   * @param peer name of the entry instance
   * @param hash hash of the document
   */
  record FetchDocument(String peer, String hash) implements FetchRequest {}
}
