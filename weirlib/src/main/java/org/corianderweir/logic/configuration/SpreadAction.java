package org.corianderweir.logic.configuration;

/** What to send so that a newer configuration gets here. */
public sealed interface SpreadAction {
  /**
   * Ask a peer for the head and index that it has in force.
   *
   * @param peer name of the entry instance
   */
  record AskForHead(String peer) implements SpreadAction {}

  /**
   * Ask a peer for a document.
   *
   * @param peer name of the entry instance
   * @param hash hash of the document
   */
  record AskForDocument(String peer, String hash) implements SpreadAction {}
}
