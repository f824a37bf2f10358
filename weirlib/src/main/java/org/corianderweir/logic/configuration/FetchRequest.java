package org.corianderweir.logic.configuration;

/** What to send so that a newer configuration gets here. */
public sealed interface FetchRequest {
  /**
   * Ask a peer for the head and index that it has in force.
   *
   * @param peer name of the entry instance
   */
  record FetchHead(String peer) implements FetchRequest {}

  /**
   * Ask a peer for a document.
   *
   * @param peer name of the entry instance
   * @param hash hash of the document
   */
  record FetchDocument(String peer, String hash) implements FetchRequest {}
}
