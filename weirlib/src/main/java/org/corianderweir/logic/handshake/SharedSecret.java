package org.corianderweir.logic.handshake;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret that all entry instances share; computes proofs by HMAC-SHA256 (RFC 2104). */
public final class SharedSecret {
  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  /**
   * Creates a secret.
   *
   * @param text text from the settings; not empty
   */
  public SharedSecret(String text) {
    key = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  /**
   * The two ends of a connection. A proof is bound to the role, so that the proof of one end is not
   * valid for the other.
   */
  enum Role {
    INITIATOR,
    RESPONDER
  }

  /**
   * The data that both sides have exchanged, which the proofs cover.
   *
   * @param hello first message of the initiator
   * @param responder identity of the responder
   * @param responderNonce fresh random bytes of the responder
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Transcript(HandshakeMessage.Hello hello, PeerIdentity responder, byte[] responderNonce) {}

  byte[] computeProof(Role role, Transcript transcript) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      HandshakeMessage.Hello hello = transcript.hello();
      updateWithField(mac, "corianderweir " + role.name());
      updateWithField(mac, Integer.toString(hello.version()));
      updateWithField(mac, hello.initiator());
      updateWithField(mac, hello.target());
      updateWithField(mac, hello.nonce());
      updateWithField(mac, transcript.responder());
      updateWithField(mac, transcript.responderNonce());
      return mac.doFinal();
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException(missing);
    }
  }

  /** Compares in constant time. */
  boolean verify(byte[] received, Role role, Transcript transcript) {
    return MessageDigest.isEqual(received, computeProof(role, transcript));
  }

  private static void updateWithField(Mac mac, PeerIdentity identity) {
    updateWithField(mac, identity.name());
    updateWithField(mac, Long.toString(identity.incarnation()));
  }

  private static void updateWithField(Mac mac, String text) {
    updateWithField(mac, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Adds a field preceded by its length, so that different sequences of fields never yield the same
   * input.
   */
  private static void updateWithField(Mac mac, byte[] field) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    mac.update(field);
  }
}
