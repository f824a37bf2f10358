package org.corianderweir.bench.start;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The command of {@code deploy/system.toml} that starts an entry instance.
 *
 * @param directory root of the repository in which {@code deploy/build.sh} ran; the working
 *     directory of the process
 * @param arguments program and arguments
 */
record RunCommand(Path directory, List<String> arguments) {
  private static final Pattern RUN = Pattern.compile("(?m)^run *= *\"([^\"]*)\"");
  private static final String JAR_OPTION = "-jar";
  private static final String SETTINGS_OPTION = "--settings";

  /**
   * Reads the command of a repository.
   *
   * @throws IllegalArgumentException if the file has no command with a jar and settings
   */
  static RunCommand read(Path directory) throws IOException {
    Path file = directory.resolve("deploy/system.toml");
    Matcher matcher = RUN.matcher(Files.readString(file));
    List<String> arguments =
        matcher.find() ? List.of(matcher.group(1).split(" +")) : List.<String>of();
    if (!arguments.containsAll(List.of(JAR_OPTION, SETTINGS_OPTION))) {
      throw new IllegalArgumentException(file + " has no command with a jar and settings");
    }
    return new RunCommand(directory, arguments);
  }

  /**
   * Returns the command for another settings file.
   *
   * @param options further options of the virtual machine, after those of the file
   */
  RunCommand with(Path settings, List<String> options) {
    List<String> changed = new ArrayList<>(arguments);
    changed.set(changed.indexOf(SETTINGS_OPTION) + 1, settings.toAbsolutePath().toString());
    changed.set(0, directory.resolve(changed.getFirst()).toAbsolutePath().toString());
    changed.addAll(changed.indexOf(JAR_OPTION), options);
    return new RunCommand(directory, changed);
  }
}
