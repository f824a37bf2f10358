package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.DryRunFormatter;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.logic.steering.explain.Explanation;
import org.corianderweir.protocol.operator.ExplainMessages;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.SelectorMessages;
import org.corianderweir.protocol.operator.ShiftMessages;

/** Commands for shifts, and for explaining how a request would be steered. */
@Parameters(commandDescription = "shift: show, pause, resume, turn-back")
public final class ShiftCommands {
  /** Shows the shift of each selector. */
  @Parameters(commandDescription = "show how the traffic of each selector moves")
  public static final class ShowCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      ShiftMessages.Shifts shifts = context.read(Operations.SHIFTS);
      List<String> lines = new ArrayList<>();
      lines.add("as seen by " + shifts.instance() + " in region " + shifts.region());
      for (ShiftMessages.ShiftView shift : shifts.shifts()) {
        lines.add("");
        lines.add(
            "selector "
                + shift.selector()
                + ": "
                + InstanceCommands.displayName(shift.state())
                + ", at most "
                + DryRunFormatter.formatPercentage(shift.capPerSecond())
                + " a second");
        lines.addAll(table(shift).lines());
      }
      return new CommandResult(shifts, lines);
    }

    private static TextTable table(ShiftMessages.ShiftView shift) {
      TextTable table =
          new TextTable("DESTINATION", "REGION", "ZONE", "NOW", "TARGET", "CONDITION");
      for (ShiftMessages.ShareView share : shift.shares()) {
        table.add(
            share.destination(),
            share.region(),
            share.availabilityZone(),
            DryRunFormatter.formatPercentage(share.share()),
            DryRunFormatter.formatPercentage(share.target()),
            InstanceCommands.displayName(share.condition()));
      }
      return table;
    }
  }

  /** Pauses the shift of a selector at its current shares. */
  @Parameters(commandDescription = "stop the shift of a selector where it is")
  public static final class PauseCommand implements Command {
    @Parameter(description = "NAME of the selector", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.PAUSE_SHIFT, new SelectorMessages.SelectorName(name));
    }
  }

  /** Resumes the paused shift of a selector. */
  @Parameters(commandDescription = "let the paused shift of a selector go on")
  public static final class ResumeCommand implements Command {
    @Parameter(description = "NAME of the selector", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.RESUME_SHIFT, new SelectorMessages.SelectorName(name));
    }
  }

  /** Shifts the traffic of a selector back to its earlier destinations. */
  @Parameters(commandDescription = "shift a selector back to its earlier destinations")
  public static final class TurnBackCommand implements Command {
    @Parameter(description = "NAME of the selector", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.TURN_BACK_SHIFT, new SelectorMessages.SelectorName(name));
    }
  }

  /** Explains, stage by stage, how a sample request would be steered. */
  @Parameters(commandDescription = "explain where a sample request would go, stage by stage")
  public static final class ExplainCommand implements Command {
    @Parameter(description = "PATH of the request", required = true)
    private String path = "";

    @Parameter(names = "--organisation", description = "organisation of its key; none if left out")
    private String organisation = "";

    @Override
    public CommandResult run(CommandContext context) {
      Explanation explanation =
          context
              .client()
              .read(
                  Operations.EXPLAIN,
                  new ExplainMessages.SampleRequest(
                      path, Optional.of(organisation).filter(name -> !name.isEmpty())));
      List<String> lines = new ArrayList<>();
      lines.add("revision " + explanation.revision() + ": " + explanation.outcome());
      for (Explanation.Stage stage : explanation.stages()) {
        lines.add(stage.name() + ":");
        for (Explanation.Candidate candidate : stage.candidates()) {
          String mark = candidate.kept() ? "  + " : "  - ";
          lines.add(mark + candidate.name() + ": " + candidate.reason());
        }
      }
      return new CommandResult(explanation, lines);
    }
  }
}
