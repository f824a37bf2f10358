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

  /** The two ends of a connection; a proof of one is never a proof of the other. */
  enum Role {
    INITIATOR,
    RESPONDER
  }

  /**
   * All that both sides have said.
   *
   * @param hello opening message
   * @param responder identity of the responder
   * @param responderNonce fresh random bytes of the responder
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Transcript(HandshakeMessage.Hello hello, PeerIdentity responder, byte[] responderNonce) {}

  byte[] proof(Role role, Transcript transcript) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      HandshakeMessage.Hello hello = transcript.hello();
      add(mac, "corianderweir " + role.name());
      add(mac, Integer.toString(hello.version()));
      add(mac, hello.initiator());
      add(mac, hello.target());
      add(mac, hello.nonce());
      add(mac, transcript.responder());
      add(mac, transcript.responderNonce());
      return mac.doFinal();
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException(missing);
    }
  }

  /** Compares in constant time. */
  boolean proves(byte[] shown, Role role, Transcript transcript) {
    return MessageDigest.isEqual(shown, proof(role, transcript));
  }

  private static void add(Mac mac, PeerIdentity identity) {
    add(mac, identity.name());
    add(mac, Long.toString(identity.incarnation()));
  }

  private static void add(Mac mac, String text) {
    add(mac, text.getBytes(StandardCharsets.UTF_8));
  }

  /** The length before each field keeps two fields from being read as two others. */
  private static void add(Mac mac, byte[] field) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    mac.update(field);
  }
}
