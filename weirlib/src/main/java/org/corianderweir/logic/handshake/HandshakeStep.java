package org.corianderweir.logic.handshake;

import java.util.Optional;

/** What follows from a message of a handshake. */
public sealed interface HandshakeStep {
  /**
   * The handshake goes on.
   *
   * @param reply message to send
   */
  record Continue(HandshakeMessage reply) implements HandshakeStep {}

  /**
   * The other side knows the secret.
   *
   * @param peer who the other side is
   * @param reply last message to send, if there is one
   */
  record Authenticated(PeerIdentity peer, Optional<HandshakeMessage> reply)
      implements HandshakeStep {}

  /**
   * The connection must be closed.
   *
   * @param reason what was wrong, for operators
   */
  record Refused(String reason) implements HandshakeStep {}
}
