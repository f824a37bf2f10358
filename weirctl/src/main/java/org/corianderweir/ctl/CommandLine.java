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

/** Reads a command line, runs its command and prints the result or the error. */
public final class CommandLine {
  /** The word before a command that asks what it would do. */
  static final String DRY_RUN = "dry-run";

  private static final int ANSWER_LIMIT_BYTES = 8 * 1024 * 1024;

  private final Map<String, String> environment;
  private final PrintStream output;
  private final PrintStream errors;

  /** Creates a command line with its environment variables and its outputs. */
  public CommandLine(Map<String, String> environment, PrintStream output, PrintStream errors) {
    this.environment = Map.copyOf(environment);
    this.output = output;
    this.errors = errors;
  }

  /** Runs a command and returns the exit status of the process. */
  public ExitStatus run(String... arguments) {
    ConnectionOptions options = new ConnectionOptions();
    JCommander root = CommandTree.build(options);
    try {
      root.parse(withDryRunAsOption(arguments));
      JCommander chosen = deepest(root);
      Object command = chosen.getObjects().getFirst();
      if (options.help()) {
        output.println(usage(chosen));
        return ExitStatus.OK;
      }
      if (command instanceof LocalCommand local) {
        output.println(local.run().print(options.format()));
        return ExitStatus.OK;
      }
      if (!(command instanceof Command runnable)) {
        errors.println(usage(chosen));
        return ExitStatus.USAGE;
      }
      output.println(run(runnable, options).print(options.format()));
      return ExitStatus.OK;
    } catch (ParameterException failure) {
      return failed(
          new CommandException(
              ExitStatus.USAGE,
              "usage",
              String.valueOf(failure.getMessage()),
              "look at 'weirctl --help' or 'weirctl COMMAND --help'"));
    } catch (CommandException failure) {
      return failed(failure);
    } catch (WeirException failure) {
      return failed(
          new CommandException(
              ExitStatus.FAILED,
              failure.code().name(),
              String.valueOf(failure.getMessage()),
              "compare the versions of weirctl and of the entry instances"));
    }
  }

  private Result run(Command command, ConnectionOptions options) {
    HttpClient http =
        new HttpClient(
            new HttpClientOptions(
                "weirctl", options.timeout(), options.timeout(), ANSWER_LIMIT_BYTES));
    OperatorClient client =
        new OperatorClient(
            http,
            options.addresses(environment),
            options.credential(environment),
            options.timeout());
    http.start();
    try {
      return command.run(new Session(client, options));
    } finally {
      http.stop();
    }
  }

  private ExitStatus failed(CommandException failure) {
    errors.println("weirctl: " + failure.code() + ": " + failure.getMessage());
    errors.println("next: " + failure.nextStep());
    return failure.status();
  }

  /** Turns the first word {@code dry-run} into the option. */
  private static String[] withDryRunAsOption(String[] arguments) {
    List<String> words = new ArrayList<>(Arrays.asList(arguments));
    int index = words.indexOf(DRY_RUN);
    if (index >= 0 && index + 1 < words.size() && !words.contains("--help")) {
      words.set(index, "--" + DRY_RUN);
    }
    return words.toArray(String[]::new);
  }

  private static JCommander deepest(JCommander root) {
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
