package org.corianderweir.daemon.settings;

import java.util.List;

/** Describes the settings as rows of a Markdown table. */
public final class SettingsDescription {
  private SettingsDescription() {}

  /** Returns a row for each declared setting. */
  public static List<String> rows(List<Setting<?>> declarations) {
    return declarations.stream().map(SettingsDescription::row).toList();
  }

  private static String row(Setting<?> setting) {
    return "| `[%s] %s` | %s | %s | %s |"
        .formatted(
            setting.section(),
            setting.name(),
            setting.type().describeAllowed(),
            setting.defaultText().map(text -> "`" + text + "`").orElse("must be given"),
            setting.description());
  }
}
