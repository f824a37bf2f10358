package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about access keys. */
public final class KeyMessages {
  private KeyMessages() {}

  /**
   * The keys of the configuration in force.
   *
   * @param keys the keys
   */
  public record Keys(List<KeyView> keys) {}

  /**
   * A key without its secret and its hash.
   *
   * @param identifier public part of the key
   * @param organisation organisation that the key belongs to
   */
  public record KeyView(String identifier, String organisation) {}

  /**
   * Request to issue a key.
   *
   * @param identifier public part of the key
   * @param organisation organisation that the key belongs to
   */
  public record IssueKey(String identifier, String organisation) {}

  /**
   * Request to withdraw a key.
   *
   * @param identifier public part of the key
   */
  public record WithdrawKey(String identifier) {}
}
