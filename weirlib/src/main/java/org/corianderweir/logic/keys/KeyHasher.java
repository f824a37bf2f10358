package org.corianderweir.logic.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.corianderweir.model.configuration.AccessKey;

/**
 * Issues keys and computes their salted hashes. Secrets carry 256 random bits, so one round of
 * SHA-256 suffices.
 */
public final class KeyHasher {
  private static final int SECRET_BYTES = 32;
  private static final int SALT_BYTES = 16;
  private static final char SEPARATOR = '.';

  private KeyHasher() {}

  /**
   * A new key: the text that the caller is shown only once, and the record that the configuration
   * keeps.
   *
   * @param presented text that the caller presents with its requests
   * @param stored record without the secret
   */
  public record IssuedKey(String presented, AccessKey stored) {}

  /** Issues a key with bytes from a cryptographic random source. */
  public static IssuedKey issue(
      String identifier, String organisation, java.util.random.RandomGenerator random) {
    byte[] secret = new byte[SECRET_BYTES];
    byte[] salt = new byte[SALT_BYTES];
    random.nextBytes(secret);
    random.nextBytes(salt);
    String secretText = HexFormat.of().formatHex(secret);
    String saltText = HexFormat.of().formatHex(salt);
    AccessKey stored =
        new AccessKey(identifier, organisation, saltText, hash(saltText, secretText));
    return new IssuedKey(identifier + SEPARATOR + secretText, stored);
  }

  /** Returns the hash of a secret, hexadecimal. */
  public static String hash(String salt, String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt.getBytes(StandardCharsets.US_ASCII));
      return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(missing);
    }
  }

  /** Returns the position of the separator in a presented key, or -1. */
  static int separatorPosition(String presented) {
    return presented.indexOf(SEPARATOR);
  }
}
