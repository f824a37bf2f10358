package org.corianderweir.daemon.settings;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * An INI file of settings, validated against declarations. Every mistake is reported in one line
 * with the file, the section, the name, the text that was read and the allowed texts. Invalid
 * secrets are not repeated in the report.
 */
public final class SettingsFile {
  private final File file;
  private final Ini ini;
  private final List<Setting<?>> declarations;
  private final List<String> problems = new ArrayList<>();

  private SettingsFile(File file, Ini ini, List<Setting<?>> declarations) {
    this.file = file;
    this.ini = ini;
    this.declarations = declarations;
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID}; its message has one line for each
   *     mistake
   */
  public static SettingsFile read(File file, List<Setting<?>> declarations) {
    try {
      SettingsFile settings = new SettingsFile(file, new Ini(file), declarations);
      settings.check();
      return settings;
    } catch (IOException failure) {
      throw new WeirException(
          ErrorCode.SETTINGS_INVALID, file + ": can't be read: " + failure.getMessage(), failure);
    }
  }

  /** Returns the value of a setting, which is its default if the file doesn't have the setting. */
  public <T> T value(Setting<T> setting) {
    return text(setting).flatMap(setting.type()::parse).orElseThrow();
  }

  private void check() {
    reportUnknown();
    declarations.forEach(this::text);
    if (!problems.isEmpty()) {
      throw new WeirException(
          ErrorCode.SETTINGS_INVALID, String.join(System.lineSeparator(), problems));
    }
  }

  private void reportUnknown() {
    for (Map.Entry<String, Profile.Section> entry : ini.entrySet()) {
      if (declarations.stream().noneMatch(setting -> setting.section().equals(entry.getKey()))) {
        problems.add(file + ": [" + entry.getKey() + "]: unknown section");
        continue;
      }
      for (String name : entry.getValue().keySet()) {
        if (declarations.stream()
            .noneMatch(
                setting ->
                    setting.section().equals(entry.getKey()) && setting.name().equals(name))) {
          problems.add(file + ": [" + entry.getKey() + "] " + name + ": unknown name");
        }
      }
    }
  }

  private Optional<String> text(Setting<?> setting) {
    Profile.Section section = ini.get(setting.section());
    List<String> texts =
        section == null || !section.containsKey(setting.name())
            ? List.of()
            : section.getAll(setting.name());
    if (texts.size() > 1) {
      report(setting, "given " + texts.size() + " times");
      return Optional.empty();
    }
    Optional<String> text = texts.stream().findFirst().or(setting::defaultText);
    if (text.isEmpty()) {
      report(setting, "missing");
    } else if (setting.type().parse(text.get()).isEmpty()) {
      boolean secret = setting.type() instanceof SettingType.Secret;
      report(setting, secret ? "read a text that is too short" : "read '" + text.get() + "'");
    }
    return text;
  }

  private void report(Setting<?> setting, String mistake) {
    problems.add(
        "%s: [%s] %s: %s; allowed: %s"
            .formatted(
                file,
                setting.section(),
                setting.name(),
                mistake,
                setting.type().describeAllowed()));
  }
}
