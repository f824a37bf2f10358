package org.corianderweir.logic.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.AccessKey;

/** Checks presented keys against those in force. Immutable. */
public final class KeyDirectory {
  /**
   * Compared with the presented key if its identifier is unknown, so that known and unknown
   * identifiers take the same time.
   */
  private static final AccessKey UNKNOWN_KEY = new AccessKey("", "", "00", "00".repeat(32));

  private final Map<String, AccessKey> byIdentifier;

  /** Creates a directory of the keys in force. */
  public KeyDirectory(List<AccessKey> keys) {
    byIdentifier =
        keys.stream().collect(Collectors.toMap(AccessKey::identifier, Function.identity()));
  }

  /** Checks a presented key. The time that this takes does not depend on the secret. */
  public KeyDecision check(String presented) {
    int separator = KeyHasher.separatorPosition(presented);
    String identifier = separator < 0 ? "" : presented.substring(0, separator);
    String secret = presented.substring(separator + 1);
    AccessKey key = byIdentifier.getOrDefault(identifier, UNKNOWN_KEY);
    byte[] actual = KeyHasher.hash(key.salt(), secret).getBytes(StandardCharsets.US_ASCII);
    byte[] expected = key.hash().getBytes(StandardCharsets.US_ASCII);
    boolean equal = MessageDigest.isEqual(actual, expected);
    if (equal && !key.identifier().isEmpty()) {
      return new KeyDecision.Accepted(key.organisation());
    }
    return new KeyDecision.Rejected();
  }
}
