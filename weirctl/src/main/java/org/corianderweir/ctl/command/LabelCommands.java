package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.protocol.operator.LabelMessages;
import org.corianderweir.protocol.operator.Operations;

/** Commands for labels. */
@Parameters(commandDescription = "labels: list, set, remove")
public final class LabelCommands {
  /** Lists all labels. */
  @Parameters(commandDescription = "list the labels of regions, zones and backend servers")
  public static final class ListCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      LabelMessages.Labels labels = context.read(Operations.LABELS);
      TextTable table = new TextTable("SCOPE", "NAME", "LABEL", "VALUE");
      for (LabelMessages.LabelledItem item : labels.items()) {
        for (Label label : item.labels()) {
          table.add(item.scope().keyword(), item.name(), label.name(), label.value());
        }
      }
      return new CommandResult(labels, table.lines());
    }
  }

  /** Adds a label or changes its value. */
  @Parameters(commandDescription = "attach a label: set SCOPE NAME LABEL VALUE")
  public static final class SetCommand implements Command {
    @Parameter(description = "server|zone|region NAME LABEL VALUE", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommandResult run(CommandContext context) {
      PositionalArguments.requireCount(arguments, "SCOPE", "NAME", "LABEL", "VALUE");
      return context.change(
          Operations.SET_LABEL,
          new LabelMessages.SetLabel(
              scope(arguments.get(0)), arguments.get(1), arguments.get(2), arguments.get(3)));
    }
  }

  /** Removes a label. */
  @Parameters(commandDescription = "take a label away: remove SCOPE NAME LABEL")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "server|zone|region NAME LABEL", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommandResult run(CommandContext context) {
      PositionalArguments.requireCount(arguments, "SCOPE", "NAME", "LABEL");
      return context.change(
          Operations.REMOVE_LABEL,
          new LabelMessages.RemoveLabel(
              scope(arguments.get(0)), arguments.get(1), arguments.get(2)));
    }
  }

  private static LabelScope scope(String argument) {
    try {
      return LabelScope.valueOf(argument.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException unknown) {
      throw PositionalArguments.usageError(
          "unknown scope '" + argument + "'", "write server, zone or region");
    }
  }
}
