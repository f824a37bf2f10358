package org.corianderweir.model.platform;

/** The result of a compare-and-swap. */
public sealed interface WriteResult {
  /**
   * The write took effect.
   *
   * @param version version of the key after the write
   */
  record Written(long version) implements WriteResult {}

  /**
   * The expected version was not the current one; nothing was written.
   *
   * @param currentVersion current version of the key; zero if the key is absent
   */
  record Conflict(long currentVersion) implements WriteResult {}
}
