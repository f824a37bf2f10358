package org.corianderweir.logic.handshake;

/** The messages of the handshake, which precede all other messages on a connection. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface HandshakeMessage {
  /**
   * The initiator's first message.
   *
   * @param version version of the protocol between entry instances
   * @param initiator the instance that opened the connection
   * @param target name of the instance that the initiator wants to connect to
   * @param nonce fresh random bytes of the initiator
   */
  record Hello(int version, PeerIdentity initiator, String target, byte[] nonce)
      implements HandshakeMessage {}

  /**
   * The responder's answer to {@link Hello}.
   *
   * @param responder the instance that accepted the connection
   * @param nonce fresh random bytes of the responder
   * @param proof the responder's proof that it knows the secret
   */
  record Challenge(PeerIdentity responder, byte[] nonce, byte[] proof)
      implements HandshakeMessage {}

  /**
   * The initiator's last message, which completes the handshake.
   *
   * @param proof the initiator's proof that it knows the secret
   */
  record Response(byte[] proof) implements HandshakeMessage {}
}
