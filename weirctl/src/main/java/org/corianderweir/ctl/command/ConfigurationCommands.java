package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.coordination.InForceOperation;
import org.corianderweir.coordination.InForceReport;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.ConfigurationMessages;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/** Commands for the configuration as a whole. */
@Parameters(commandDescription = "config: show, history, in-force, diff, apply")
public final class ConfigurationCommands {
  /** Shows the configuration in force, without its keys. */
  @Parameters(commandDescription = "show the configuration in force, without keys")
  public static final class ShowCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      Configuration shown = withoutKeys(context.read(Operations.CONFIGURATION));
      return CommandResult.ofLine(shown, Json.writeIndented(shown));
    }
  }

  /** Lists the latest changes of the configuration. */
  @Parameters(commandDescription = "list the latest changes, the last one first")
  public static final class HistoryCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      OperatorMessages.History history = context.read(Operations.CONFIGURATION_HISTORY);
      TextTable table = new TextTable("REVISION", "ACCEPTED", "CHANGE", "OPERATION");
      for (AcceptedChange change : history.changes()) {
        table.add(
            change.revision(),
            Instant.ofEpochMilli(change.wallMilliseconds()),
            change.summary(),
            change.operation());
      }
      return new CommandResult(history, table.lines());
    }
  }

  /** Shows in which availability zones a revision is in force. */
  @Parameters(commandDescription = "show in which availability zones a revision is in force")
  public static final class InForceCommand implements Command {
    @Parameter(names = "--revision", description = "the revision; default: the latest one")
    private long revision = -1;

    @Override
    public CommandResult run(CommandContext context) {
      Optional<Long> requested = revision < 0 ? Optional.empty() : Optional.of(revision);
      InForceReport report =
          context
              .client()
              .read(
                  InForceOperation.IN_FORCE, new ConfigurationMessages.RevisionRequest(requested));
      TextTable table = new TextTable("ZONE", "REVISION " + report.revision(), "KEYS STOP BY");
      for (InForceReport.ZoneState zone : report.zones()) {
        String keysStoppedBy =
            zone.keysStoppedByMilliseconds()
                .map(Instant::ofEpochMilli)
                .map(Instant::toString)
                .orElse("-");
        table.add(zone.zone(), InstanceCommands.displayName(zone.reach()), keysStoppedBy);
      }
      return new CommandResult(report, table.lines());
    }
  }

  /**
   * Shows the differences between two revisions, or between the configuration in force and a file.
   */
  @Parameters(commandDescription = "show what differs: diff FROM [TO], or diff --file FILE")
  public static final class DiffCommand implements Command {
    @Parameter(description = "FROM [TO], revisions; TO is the one in force if left out")
    private List<String> revisions = new ArrayList<>();

    @Parameter(names = "--file", description = "compare the one in force with a file")
    private String file = "";

    /**
     * The differences between two configurations.
     *
     * @param differences the differences, one line each
     */
    public record Differences(List<String> differences) {}

    @Override
    public CommandResult run(CommandContext context) {
      List<String> differences = differences(context);
      List<String> lines = differences.isEmpty() ? List.of("nothing differs") : differences;
      return new CommandResult(new Differences(differences), lines);
    }

    private List<String> differences(CommandContext context) {
      Configuration inForce = context.read(Operations.CONFIGURATION);
      if (!file.isEmpty()) {
        return DifferenceFormatter.lines(
            withoutKeys(inForce), withoutKeys(readConfiguration(file)));
      }
      if (revisions.isEmpty() || revisions.size() > 2) {
        throw PositionalArguments.usageError(
            "found " + revisions.size() + " revisions", "write FROM, FROM TO or --file FILE");
      }
      Configuration from = revision(context, revisions.getFirst());
      Configuration to = revisions.size() == 2 ? revision(context, revisions.get(1)) : inForce;
      return DifferenceFormatter.lines(from, to);
    }

    private static Configuration revision(CommandContext context, String text) {
      try {
        return context
            .client()
            .read(
                Operations.CONFIGURATION_REVISION,
                new ConfigurationMessages.RevisionRequest(Optional.of(Long.parseLong(text))));
      } catch (NumberFormatException notNumeric) {
        throw PositionalArguments.usageError(
            "'" + text + "' is not a revision", "write a whole number");
      }
    }
  }

  /** Replaces the configuration, except its keys, with the content of a file. */
  @Parameters(
      commandDescription =
          "replace everything but the keys with a file; based on --expected-revision,"
              + " or on the revision that the file names")
  public static final class ApplyCommand implements Command {
    @Parameter(description = "FILE in the form of 'config show'", required = true)
    private String file = "";

    @Override
    public CommandResult run(CommandContext context) {
      Configuration content = readConfiguration(file);
      long givenRevision = context.options().expectedRevision();
      long expectedRevision = givenRevision >= 0 ? givenRevision : content.revision();
      return context.change(
          Operations.REPLACE_CONFIGURATION,
          content,
          expectedRevision,
          Map.of(Operation.KEEP_KEYS_PARAMETER, "true"));
    }
  }

  private static Configuration withoutKeys(Configuration configuration) {
    return configuration.toBuilder().keys(List.of()).build();
  }

  private static Configuration readConfiguration(String file) {
    try {
      return Json.read(Files.readString(Path.of(file)), Configuration.class);
    } catch (IOException failure) {
      throw PositionalArguments.usageError("can't read " + file, "name a readable file");
    } catch (WeirException failure) {
      throw PositionalArguments.usageError(
          file + ": " + failure.getMessage(), "start from 'weirctl config show'");
    }
  }
}
