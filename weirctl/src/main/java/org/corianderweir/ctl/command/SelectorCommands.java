package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.DryRunFormatter;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.SelectorMessages;

/** Commands for selectors. */
@Parameters(commandDescription = "selectors: list, set, remove, check")
public final class SelectorCommands {
  /** Lists all selectors in their text form. */
  @Parameters(commandDescription = "list the selectors as text")
  public static final class ListCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      SelectorMessages.Selectors selectors = context.read(Operations.SELECTORS);
      return new CommandResult(
          selectors,
          selectors.selectors().stream().map(SelectorMessages.SelectorView::text).toList());
    }
  }

  /** Adds or replaces a selector. */
  @Parameters(commandDescription = "add or replace a selector; docs/SELECTORS.md has the grammar")
  public static final class SetCommand implements Command {
    @Parameter(description = "'route NAME path /... to service ...'", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.SET_SELECTOR, text(arguments));
    }
  }

  /** Removes a selector. */
  @Parameters(commandDescription = "remove a selector")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "NAME of the selector", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.REMOVE_SELECTOR, new SelectorMessages.SelectorName(name));
    }
  }

  /** Checks a selector without applying it, and shows the shift that it would cause. */
  @Parameters(commandDescription = "check a selector and show the shift that it would cause")
  public static final class CheckCommand implements Command {
    @Parameter(description = "'route NAME path /... to service ...'", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommandResult run(CommandContext context) {
      return DryRunFormatter.format(
          context.client().read(Operations.CHECK_SELECTOR, text(arguments)));
    }
  }

  private static SelectorMessages.SelectorText text(List<String> arguments) {
    return new SelectorMessages.SelectorText(String.join(" ", arguments));
  }
}
