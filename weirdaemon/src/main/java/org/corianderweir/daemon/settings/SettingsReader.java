package org.corianderweir.daemon.settings;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.topology.EntryInstance;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Reads a settings file and reports every mistake in it, one line each: the file, the section, the
 * name, what was read, and what is allowed. Secrets that are wrong are not repeated.
 */
public final class SettingsReader {
  private final File file;
  private final Ini ini;
  private final List<String> problems = new ArrayList<>();

  private SettingsReader(File file, Ini ini) {
    this.file = file;
    this.ini = ini;
  }

  /**
   * Reads and checks a file.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID}; its message has a line per mistake
   */
  public static DaemonSettings read(File file) {
    try {
      SettingsReader reader = new SettingsReader(file, new Ini(file));
      return reader.settings();
    } catch (IOException failure) {
      throw new WeirException(
          ErrorCode.SETTINGS_INVALID, file + ": can't be read: " + failure.getMessage(), failure);
    }
  }

  private DaemonSettings settings() {
    reportUnknown();
    DaemonSettingDeclarations.all().forEach(this::text);
    if (!problems.isEmpty()) {
      throw new WeirException(
          ErrorCode.SETTINGS_INVALID, String.join(System.lineSeparator(), problems));
    }
    EntryInstance instance =
        new EntryInstance(
            value(DaemonSettingDeclarations.INSTANCE_NAME),
            value(DaemonSettingDeclarations.REGION),
            value(DaemonSettingDeclarations.AVAILABILITY_ZONE),
            value(DaemonSettingDeclarations.HOST),
            value(DaemonSettingDeclarations.CALLER_PORT),
            value(DaemonSettingDeclarations.OPERATOR_PORT),
            value(DaemonSettingDeclarations.PEER_PORT));
    HttpAddress platform =
        new HttpAddress(
            value(DaemonSettingDeclarations.PLATFORM_HOST),
            value(DaemonSettingDeclarations.PLATFORM_PORT));
    return new DaemonSettings(
        instance,
        listenPorts(instance),
        platform,
        value(DaemonSettingDeclarations.OPERATOR_CREDENTIAL),
        value(DaemonSettingDeclarations.PEER_SECRET),
        value(DaemonSettingDeclarations.LOOKUP_LIFETIME),
        value(DaemonSettingDeclarations.BODY_LIMIT_BYTES));
  }

  private DaemonSettings.ListenPorts listenPorts(EntryInstance instance) {
    int callers = value(DaemonSettingDeclarations.CALLER_LISTEN_PORT);
    int peers = value(DaemonSettingDeclarations.PEER_LISTEN_PORT);
    return new DaemonSettings.ListenPorts(
        callers == 0 ? instance.callerPort() : callers, peers == 0 ? instance.peerPort() : peers);
  }

  private void reportUnknown() {
    for (Map.Entry<String, Profile.Section> entry : ini.entrySet()) {
      if (DaemonSettingDeclarations.all().stream()
          .noneMatch(setting -> setting.section().equals(entry.getKey()))) {
        problems.add(file + ": [" + entry.getKey() + "]: unknown section");
        continue;
      }
      for (String name : entry.getValue().keySet()) {
        if (DaemonSettingDeclarations.all().stream()
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
    Optional<String> text = given.stream().findFirst().or(setting::fallback);
    if (text.isEmpty()) {
      report(setting, "missing");
    } else if (setting.kind().parse(text.get()).isEmpty()) {
      boolean secret = setting.kind() instanceof ValueKind.Secret;
      report(setting, secret ? "read a text that is too short" : "read '" + text.get() + "'");
    }
    return text;
  }

  private void report(Setting<?> setting, String what) {
    problems.add(
        "%s: [%s] %s: %s; allowed: %s"
            .formatted(file, setting.section(), setting.name(), what, setting.kind().allowed()));
  }

  /** Returns a value that was found valid before. */
  private <T> T value(Setting<T> setting) {
    return text(setting).flatMap(setting.kind()::parse).orElseThrow();
  }
}
