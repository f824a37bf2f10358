package org.corianderweir.daemon.settings;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.topology.EntryInstance;
import org.ini4j.Ini;

/** Reads a settings file and reports every mistake in it, one line each. */
public final class SettingsReader {
  private static final int PORT_MAXIMUM = 65_535;

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
      DaemonSettings settings = reader.settings();
      if (!reader.problems.isEmpty()) {
        throw new WeirException(
            ErrorCode.SETTINGS_INVALID, String.join(System.lineSeparator(), reader.problems));
      }
      return settings;
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.SETTINGS_INVALID, file + ": can't be read", failure);
    }
  }

  private DaemonSettings settings() {
    EntryInstance instance =
        new EntryInstance(
            text("instance", "name"),
            text("instance", "region"),
            text("instance", "availability-zone"),
            text("instance", "host"),
            port("callers", "port"),
            port("operators", "port"),
            port("peers", "port"));
    return new DaemonSettings(
        instance,
        new HttpAddress(text("platform", "host"), port("platform", "port")),
        text("operators", "credential"),
        text("peers", "secret"));
  }

  private String text(String section, String name) {
    Optional<String> value = Optional.ofNullable(ini.get(section, name));
    if (value.isEmpty() || value.get().isBlank()) {
      problems.add(file + ": [" + section + "] " + name + ": missing; allowed: any text");
    }
    return value.orElse("");
  }

  private int port(String section, String name) {
    String value = text(section, name);
    try {
      int port = Integer.parseInt(value);
      if (port > 0 && port <= PORT_MAXIMUM) {
        return port;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below together with numbers out of range.
    }
    problems.add(
        file + ": [" + section + "] " + name + ": read '" + value + "'; allowed: 1 to 65535");
    return 0;
  }
}
