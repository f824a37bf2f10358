package org.corianderweir.daemon.settings;

import java.util.Optional;

/**
 * The declaration of a setting.
 *
 * @param section section of the file
 * @param name name within the section
 * @param type type that parses and validates the value
 * @param defaultText text that is used if the setting is missing; empty if the setting is required
 * @param description what the setting does, for docs/SETTINGS.md
 * @param <T> type of the value in the program
 */
public record Setting<T>(
    String section,
    String name,
    SettingType<T> type,
    Optional<String> defaultText,
    String description) {
  /** Declares a required setting. */
  static <T> Setting<T> required(
      String section, String name, SettingType<T> type, String description) {
    return new Setting<>(section, name, type, Optional.empty(), description);
  }

  /** Declares an optional setting with its default. */
  static <T> Setting<T> optional(
      String section, String name, SettingType<T> type, String defaultText, String description) {
    return new Setting<>(section, name, type, Optional.of(defaultText), description);
  }
}
