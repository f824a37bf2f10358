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
 * A settings file that is checked against declarations. Every mistake is reported, one line each:
 * the file, the section, the name, what was read, and what is allowed. Secrets that are wrong are
 * not repeated.
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
   * Reads and checks a file.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID}; its message has a line per mistake
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

  /** Returns a value. */
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
    List<String> given =
        section == null || !section.containsKey(setting.name())
            ? List.of()
            : section.getAll(setting.name());
    if (given.size() > 1) {
      report(setting, "given " + given.size() + " times");
      return Optional.empty();
    }
    Optional<String> text = given.stream().findFirst().or(setting::defaultText);
    if (text.isEmpty()) {
      report(setting, "missing");
    } else if (setting.type().parse(text.get()).isEmpty()) {
      boolean secret = setting.type() instanceof SettingType.Secret;
      report(setting, secret ? "read a text that is too short" : "read '" + text.get() + "'");
    }
    return text;
  }

  private void report(Setting<?> setting, String what) {
    problems.add(
        "%s: [%s] %s: %s; allowed: %s"
            .formatted(
                file, setting.section(), setting.name(), what, setting.type().describeAllowed()));
  }
}
