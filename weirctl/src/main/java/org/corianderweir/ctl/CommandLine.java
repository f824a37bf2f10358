package org.corianderweir.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.model.WeirException;

/** Parses a command line, runs its command and prints the result or the error. */
public final class CommandLine {
  /** Word before a command that reports the effect of the command instead of applying it. */
  static final String DRY_RUN_COMMAND = "dry-run";

  /** The command {@code explain request}; {@code explain} alone takes a path. */
  static final String EXPLAIN_REQUEST_COMMAND = "explain-request";

  private static final int RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024;

  private final Map<String, String> environment;
  private final PrintStream output;
  private final PrintStream errorOutput;

  /** Creates a command line with the environment variables and output streams of the process. */
  public CommandLine(Map<String, String> environment, PrintStream output, PrintStream errorOutput) {
    this.environment = Map.copyOf(environment);
    this.output = output;
    this.errorOutput = errorOutput;
  }

  /** Runs a command and returns the exit status of the process. */
  public ExitStatus run(String... arguments) {
    GlobalOptions options = new GlobalOptions();
    JCommander root = CommandTree.build(options);
    try {
      root.parse(withDryRunAsOption(withExplainRequestAsOneWord(arguments)));
      JCommander selected = selectedCommand(root);
      Object command = selected.getObjects().getFirst();
      if (options.help()) {
        output.println(usage(selected));
        return ExitStatus.OK;
      }
      return switch (command) {
        case LocalCommand local -> report(local.run(), options);
        case MetricsPortCommand explaining -> report(run(explaining, options), options);
        case Command remoteCommand -> report(run(remoteCommand, options), options);
        default -> {
          errorOutput.println(usage(selected));
          yield ExitStatus.USAGE;
        }
      };
    } catch (ParameterException failure) {
      return reportFailure(
          new CommandException(
              ExitStatus.USAGE,
              "usage",
              String.valueOf(failure.getMessage()),
              "look at 'weirctl --help' or 'weirctl COMMAND --help'"));
    } catch (CommandException failure) {
      return reportFailure(failure);
    } catch (WeirException failure) {
      return reportFailure(
          new CommandException(
              ExitStatus.FAILED,
              failure.code().name(),
              String.valueOf(failure.getMessage()),
              "compare the versions of weirctl and of the entry instances"));
    }
  }

  private CommandResult run(Command command, GlobalOptions options) {
    HttpClient httpClient = httpClient(options);
    OperatorClient client =
        new OperatorClient(
            httpClient,
            options.addresses(environment),
            options.credential(environment),
            options.timeout());
    httpClient.start();
    try {
      return command.run(new CommandContext(client, options));
    } finally {
      httpClient.stop();
    }
  }

  private CommandResult run(MetricsPortCommand command, GlobalOptions options) {
    HttpClient httpClient = httpClient(options);
    httpClient.start();
    try {
      return command.run(httpClient, options, environment);
    } finally {
      httpClient.stop();
    }
  }

  private static HttpClient httpClient(GlobalOptions options) {
    return new HttpClient(
        new HttpClientOptions(
            "weirctl", options.timeout(), options.timeout(), RESPONSE_LIMIT_BYTES));
  }

  private ExitStatus report(CommandResult result, GlobalOptions options) {
    output.println(result.format(options.format()));
    return result.failure().map(this::reportFailure).orElse(ExitStatus.OK);
  }

  private ExitStatus reportFailure(CommandException failure) {
    errorOutput.println("weirctl: " + failure.code() + ": " + failure.getMessage());
    errorOutput.println("next: " + failure.nextStep());
    return failure.status();
  }

  /** Replaces the words {@code explain request} by the name of their command. */
  private static String[] withExplainRequestAsOneWord(String[] arguments) {
    List<String> rewritten = new ArrayList<>(Arrays.asList(arguments));
    int index = rewritten.indexOf("explain");
    if (index >= 0 && index + 1 < rewritten.size() && rewritten.get(index + 1).equals("request")) {
      rewritten.subList(index, index + 2).clear();
      rewritten.add(index, EXPLAIN_REQUEST_COMMAND);
    }
    return rewritten.toArray(String[]::new);
  }

  /**
   * Replaces the first word {@code dry-run} by the option {@code --dry-run}. Leaves it as it is if
   * no command follows or if help is requested, so that it is parsed as a command of its own.
   */
  private static String[] withDryRunAsOption(String[] arguments) {
    List<String> rewritten = new ArrayList<>(Arrays.asList(arguments));
    int index = rewritten.indexOf(DRY_RUN_COMMAND);
    if (index >= 0 && index + 1 < rewritten.size() && !rewritten.contains("--help")) {
      rewritten.set(index, "--" + DRY_RUN_COMMAND);
    }
    return rewritten.toArray(String[]::new);
  }

  private static JCommander selectedCommand(JCommander root) {
    JCommander current = root;
    String name = current.getParsedCommand();
    while (name != null) {
      current = CommandTree.child(current, name);
      name = current.getParsedCommand();
    }
    return current;
  }

  private static String usage(JCommander commander) {
    StringBuilder text = new StringBuilder();
    commander.getUsageFormatter().usage(text);
    return text.toString().stripTrailing();
  }
}
