package org.corianderweir.ctl;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.corianderweir.http.HttpAddress;

/** The options that all commands share. They may stand before or after the command. */
public final class GlobalOptions {
  /** Environment variable with the addresses of the operators' interfaces. */
  public static final String INSTANCES_VARIABLE = "WEIR_INSTANCES";

  /** Environment variable with the operators' credential. */
  public static final String CREDENTIAL_VARIABLE = "WEIR_OPERATOR_CREDENTIAL";

  private static final int MAXIMUM_PORT = 65_535;

  @Parameter(
      names = {"--instances", "--instance"},
      description =
          "HOST:PORT,... of operators' interfaces; the next one is tried when one is down"
              + " (or environment WEIR_INSTANCES)")
  private String instances = "";

  @Parameter(
      names = "--credential-file",
      description = "file with the operators' credential (or environment WEIR_OPERATOR_CREDENTIAL)")
  private String credentialFile = "";

  @Parameter(
      names = "--credential",
      description = "the credential itself; other users of the machine can see it")
  private String credential = "";

  @Parameter(
      names = {"--format", "--output"},
      description = "text or json")
  private OutputFormat format = OutputFormat.TEXT;

  @Parameter(
      names = "--expected-revision",
      description = "revision that a change is based on; default: the one in force")
  private long expectedRevision = -1;

  @Parameter(names = "--dry-run", description = "say what a change would do, don't apply it")
  private boolean dryRun;

  @Parameter(names = "--timeout-seconds", description = "longest wait for an entry instance")
  private int timeoutSeconds = 5;

  @Parameter(names = "--help", description = "show help for the command", help = true)
  private boolean help;

  /** Returns the output format of results. */
  public OutputFormat format() {
    return format;
  }

  /** Returns the revision that a change is based on; negative means the one in force. */
  public long expectedRevision() {
    return expectedRevision;
  }

  /** Returns whether to report the effect of changes without applying them. */
  public boolean dryRun() {
    return dryRun;
  }

  /** Returns whether to show help instead of running the command. */
  public boolean help() {
    return help;
  }

  /** Returns how long to wait for the response of an entry instance. */
  public Duration timeout() {
    return Duration.ofSeconds(timeoutSeconds);
  }

  /**
   * Returns the addresses of the operators' interfaces, at least one.
   *
   * @throws CommandException if there is none or if one is malformed
   */
  public List<HttpAddress> addresses(Map<String, String> environment) {
    String text =
        instances.isEmpty() ? environment.getOrDefault(INSTANCES_VARIABLE, "") : instances;
    if (text.isBlank()) {
      throw usageError(
          "no address of an entry instance is given", "give --instances HOST:PORT,...");
    }
    List<HttpAddress> addresses = new ArrayList<>();
    for (String part : text.split(",")) {
      addresses.add(parseAddress(part.strip()));
    }
    return addresses;
  }

  /**
   * Returns the operators' credential from the options, or else from the environment.
   *
   * @throws CommandException if there is none or if its file can't be read
   */
  public String credential(Map<String, String> environment) {
    if (!credential.isEmpty()) {
      return credential;
    }
    if (!credentialFile.isEmpty()) {
      try {
        return Files.readString(Path.of(credentialFile)).strip();
      } catch (IOException failure) {
        throw usageError("can't read " + credentialFile, "give a readable --credential-file");
      }
    }
    String variable = environment.getOrDefault(CREDENTIAL_VARIABLE, "");
    if (variable.isEmpty()) {
      throw usageError(
          "no operators' credential is given",
          "give --credential-file FILE or set " + CREDENTIAL_VARIABLE);
    }
    return variable;
  }

  /**
   * Returns the address that a text of the form {@code HOST:PORT} names.
   *
   * @throws CommandException if it is malformed
   */
  public static HttpAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port > 0 && port <= MAXIMUM_PORT) {
        return new HttpAddress(text.substring(0, colon), port);
      }
    } catch (NumberFormatException notNumeric) {
      // Reported below together with ports out of range.
    }
    throw usageError(
        "'" + text + "' is not an address of an entry instance",
        "write HOST:PORT with a port of 1 to 65535");
  }

  private static CommandException usageError(String message, String nextStep) {
    return new CommandException(ExitStatus.USAGE, "usage", message, nextStep);
  }
}
