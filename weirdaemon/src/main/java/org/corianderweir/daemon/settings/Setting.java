package org.corianderweir.daemon.settings;

import java.util.Optional;

/**
 * The declaration of a setting.
 *
 * @param section section of the file
 * @param name name within the section
 * @param kind what values are allowed
 * @param fallback text that is used when the setting is missing; empty if it must be given
 * @param description what it does, for docs/SETTINGS.md
 * @param <T> type of the value in the program
 */
public record Setting<T>(
    String section, String name, ValueKind<T> kind, Optional<String> fallback, String description) {
  /** Declares a setting that must be given. */
  static <T> Setting<T> required(
      String section, String name, ValueKind<T> kind, String description) {
    return new Setting<>(section, name, kind, Optional.empty(), description);
  }

  /** Declares a setting that may be missing. */
  static <T> Setting<T> optional(
      String section, String name, ValueKind<T> kind, String fallback, String description) {
    return new Setting<>(section, name, kind, Optional.of(fallback), description);
  }
}
