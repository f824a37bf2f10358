package org.corianderweir.daemon.settings;

import java.util.Optional;

/**
 * The declaration of a setting.
 *
 * @param section section of the file
 * @param name name within the section
 * @param type what values are allowed
 * @param defaultText text that is used when the setting is missing; empty if it must be given
 * @param description what it does, for docs/SETTINGS.md
 * @param <T> type of the value in the program
 */
public record Setting<T>(
    String section,
    String name,
    SettingType<T> type,
    Optional<String> defaultText,
    String description) {
  /** Declares a setting that must be given. */
  static <T> Setting<T> required(
      String section, String name, SettingType<T> type, String description) {
    return new Setting<>(section, name, type, Optional.empty(), description);
  }

  /** Declares a setting that may be missing. */
  static <T> Setting<T> optional(
      String section, String name, SettingType<T> type, String defaultText, String description) {
    return new Setting<>(section, name, type, Optional.of(defaultText), description);
  }
}
