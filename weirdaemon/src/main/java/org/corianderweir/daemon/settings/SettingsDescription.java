package org.corianderweir.daemon.settings;

import java.util.List;

/** Formats declarations of settings as rows of the Markdown tables of docs/SETTINGS.md. */
public final class SettingsDescription {
  private SettingsDescription() {}

  /** Returns one row for each declaration. */
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
