package org.corianderweir.logic.handshake;

/** The messages that are exchanged on a connection before any other. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface HandshakeMessage {
  /**
   * Opens the handshake.
   *
   * @param version version of the protocol between entry instances
   * @param initiator who opened the connection
   * @param target name of the instance that it wants to reach
   * @param nonce fresh random bytes of the initiator
   */
  record Hello(int version, PeerIdentity initiator, String target, byte[] nonce)
      implements HandshakeMessage {}

  /**
   * Answers the opening.
   *
   * @param responder who accepted the connection
   * @param nonce fresh random bytes of the responder
   * @param proof the responder's proof that it knows the secret
   */
  record Challenge(PeerIdentity responder, byte[] nonce, byte[] proof)
      implements HandshakeMessage {}

  /**
   * Ends the handshake.
   *
   * @param proof the initiator's proof that it knows the secret
   */
  record Response(byte[] proof) implements HandshakeMessage {}
}
