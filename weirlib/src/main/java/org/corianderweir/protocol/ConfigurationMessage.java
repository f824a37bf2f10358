package org.corianderweir.protocol;

/** Messages by which a configuration spreads. */
public sealed interface ConfigurationMessage extends PeerMessage {
  /**
   * Asks for the configuration if the receiver's is newer.
   *
   * @param knownRevision revision that the sender has
   */
  record Request(long knownRevision) implements ConfigurationMessage {}

  /**
   * Hands on a configuration.
   *
   * @param revision its revision
   * @param document its JSON text in UTF-8
   */
  record Offer(long revision, String document) implements ConfigurationMessage {}
}
