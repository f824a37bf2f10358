package org.corianderweir.logic.handshake;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** The handshake of the instance that accepted the connection. Used by one thread at a time. */
public final class ResponderHandshake {
  private final PeerIdentity self;
  private final SharedSecret secret;
  private final RandomGenerator random;
  private SharedSecret.@Nullable Transcript transcript;

  /**
   * Creates a handshake that waits for the initiator's first message.
   *
   * @param random cryptographic random source
   */
  public ResponderHandshake(PeerIdentity self, SharedSecret secret, RandomGenerator random) {
    this.self = self;
    this.secret = secret;
    this.random = random;
  }

  /** Handles a message from the initiator. */
  public HandshakeStep receive(HandshakeMessage message) {
    return switch (message) {
      case HandshakeMessage.Hello hello -> challenge(hello);
      case HandshakeMessage.Response response -> verify(response);
      case HandshakeMessage.Challenge unexpected ->
          new HandshakeStep.Refused("a challenge from the initiator");
    };
  }

  private HandshakeStep challenge(HandshakeMessage.Hello hello) {
    if (transcript != null) {
      return new HandshakeStep.Refused("a second opening");
    }
    if (hello.version() != InitiatorHandshake.PROTOCOL_VERSION) {
      return new HandshakeStep.Refused("protocol version " + hello.version());
    }
    if (!hello.target().equals(self.name())) {
      return new HandshakeStep.Refused("meant for " + hello.target());
    }
    if (hello.initiator().name().equals(self.name())) {
      return new HandshakeStep.Refused("the initiator uses the name of this instance");
    }
    byte[] nonce = new byte[InitiatorHandshake.NONCE_BYTES];
    random.nextBytes(nonce);
    SharedSecret.Transcript current = new SharedSecret.Transcript(hello, self, nonce);
    transcript = current;
    byte[] proof = secret.computeProof(SharedSecret.Role.RESPONDER, current);
    return new HandshakeStep.Continue(new HandshakeMessage.Challenge(self, nonce, proof));
  }

  private HandshakeStep verify(HandshakeMessage.Response response) {
    SharedSecret.Transcript current = transcript;
    if (current == null) {
      return new HandshakeStep.Refused("a response without a challenge");
    }
    if (!secret.verify(response.proof(), SharedSecret.Role.INITIATOR, current)) {
      return new HandshakeStep.Refused("the initiator does not know the secret");
    }
    return new HandshakeStep.Authenticated(current.hello().initiator(), Optional.empty());
  }
}
