package org.corianderweir.logic.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The hash that identifies a document by its content. */
public final class ContentHash {
  private ContentHash() {}

  /** Returns the SHA-256 hash of the UTF-8 encoding of a text, in hexadecimal. */
  public static String of(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(missing);
    }
  }
}
