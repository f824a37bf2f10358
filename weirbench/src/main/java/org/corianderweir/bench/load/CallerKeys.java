package org.corianderweir.bench.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The key that each organisation's callers show. Thread-safe. */
public final class CallerKeys {
  private final Map<String, CallerKey> keys = new ConcurrentHashMap<>();

  /**
   * A key.
   *
   * @param identifier public part
   * @param text what callers show
   */
  public record CallerKey(String identifier, String text) {
    /** No key, on open routes. */
    public static final CallerKey NONE = new CallerKey("", "");
  }

  /** Sets the key of an organisation. */
  public void set(String organisation, CallerKey key) {
    keys.put(organisation, key);
  }

  /** Returns the key of an organisation. */
  public CallerKey of(String organisation) {
    return keys.getOrDefault(organisation, CallerKey.NONE);
  }
}
