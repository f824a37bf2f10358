package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about keys. */
public final class KeyMessages {
  private KeyMessages() {}

  /**
   * The keys in force.
   *
   * @param keys the keys
   */
  public record Keys(List<KeyView> keys) {}

  /**
   * A key without its secret and hash.
   *
   * @param identifier public part of the key
   * @param organisation organisation that it belongs to
   */
  public record KeyView(String identifier, String organisation) {}

  /**
   * Issues a key.
   *
   * @param identifier public part of the key
   * @param organisation organisation that it belongs to
   */
  public record IssueKey(String identifier, String organisation) {}

  /**
   * Withdraws a key.
   *
   * @param identifier public part of the key
   */
  public record WithdrawKey(String identifier) {}
}
