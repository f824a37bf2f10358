package org.corianderweir.logic.handshake;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** The handshake of the instance that opened the connection. Used by one thread at a time. */
public final class InitiatorHandshake {
  /** Version of the protocol between entry instances. */
  public static final int PROTOCOL_VERSION = 1;

  /** Length of a nonce in bytes. */
  public static final int NONCE_BYTES = 32;

  private final SharedSecret secret;
  private final HandshakeMessage.Hello hello;

  /**
   * Creates a handshake with a new nonce.
   *
   * @param target name of the instance that must respond
   * @param random cryptographic random source
   */
  public InitiatorHandshake(
      PeerIdentity self, String target, SharedSecret secret, RandomGenerator random) {
    this.secret = secret;
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    hello = new HandshakeMessage.Hello(PROTOCOL_VERSION, self, target, nonce);
  }

  /** Returns the first message of the handshake. */
  public HandshakeMessage hello() {
    return hello;
  }

  /** Handles a message from the responder. */
  public HandshakeStep receive(HandshakeMessage message) {
    return switch (message) {
      case HandshakeMessage.Challenge challenge -> respond(challenge);
      case HandshakeMessage.Hello unexpected -> new HandshakeStep.Refused("a second opening");
      case HandshakeMessage.Response unexpected ->
          new HandshakeStep.Refused("a response without a challenge");
    };
  }

  private HandshakeStep respond(HandshakeMessage.Challenge challenge) {
    if (!challenge.responder().name().equals(hello.target())) {
      return new HandshakeStep.Refused("another instance answered");
    }
    SharedSecret.Transcript transcript =
        new SharedSecret.Transcript(hello, challenge.responder(), challenge.nonce());
    if (!secret.verify(challenge.proof(), SharedSecret.Role.RESPONDER, transcript)) {
      return new HandshakeStep.Refused("the responder does not know the secret");
    }
    byte[] proof = secret.computeProof(SharedSecret.Role.INITIATOR, transcript);
    return new HandshakeStep.Authenticated(
        challenge.responder(), Optional.of(new HandshakeMessage.Response(proof)));
  }
}
