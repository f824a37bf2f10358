package org.corianderweir.bench.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds the key that each organisation's callers send. Thread-safe. */
public final class CallerKeys {
  private final Map<String, CallerKey> keys = new ConcurrentHashMap<>();

  /**
   * A key of an organisation.
   *
   * @param identifier public part of the key
   * @param text complete key as callers send it
   */
  public record CallerKey(String identifier, String text) {
    /** Stands for no key, as on open routes. */
    public static final CallerKey NONE = new CallerKey("", "");
  }

  /** Sets the key of an organisation. */
  public void set(String organisation, CallerKey key) {
    keys.put(organisation, key);
  }

  /** Returns the key of an organisation, or {@link CallerKey#NONE} if it has none. */
  public CallerKey of(String organisation) {
    return keys.getOrDefault(organisation, CallerKey.NONE);
  }
}
