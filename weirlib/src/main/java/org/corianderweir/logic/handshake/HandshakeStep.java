package org.corianderweir.logic.handshake;

import java.util.Optional;

/** The result of handling a message of a handshake. */
public sealed interface HandshakeStep {
  /**
   * The handshake continues.
   *
   * @param reply message to send
   */
  record Continue(HandshakeMessage reply) implements HandshakeStep {}

  /**
   * The peer has proved that it knows the secret.
   *
   * @param peer identity of the peer
   * @param reply last message to send, if there is one
   */
  record Authenticated(PeerIdentity peer, Optional<HandshakeMessage> reply)
      implements HandshakeStep {}

  /**
   * The connection must be closed.
   *
   * @param reason what was wrong, as a text for operators
   */
  record Refused(String reason) implements HandshakeStep {}
}
