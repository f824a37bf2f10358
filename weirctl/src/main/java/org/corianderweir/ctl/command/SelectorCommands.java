package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.DryRunPrinter;
import org.corianderweir.ctl.Result;
import org.corianderweir.ctl.Session;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.SelectorMessages;

/** Commands about selectors. */
@Parameters(commandDescription = "selectors: list, set, remove, check")
public final class SelectorCommands {
  /** Lists all selectors. */
  @Parameters(commandDescription = "list the selectors as text")
  public static final class ListCommand implements Command {
    @Override
    public Result run(Session session) {
      SelectorMessages.Selectors selectors = session.read(Operations.SELECTORS);
      return new Result(
          selectors,
          selectors.selectors().stream().map(SelectorMessages.SelectorView::text).toList());
    }
  }

  /** Adds or replaces a selector. */
  @Parameters(commandDescription = "add or replace a selector; docs/SELECTORS.md has the grammar")
  public static final class SetCommand implements Command {
    @Parameter(description = "'route NAME path /... to service ...'", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public Result run(Session session) {
      return session.change(Operations.SET_SELECTOR, text(words));
    }
  }

  /** Removes a selector. */
  @Parameters(commandDescription = "remove a selector")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "NAME of the selector", required = true)
    private String name = "";

    @Override
    public Result run(Session session) {
      return session.change(Operations.REMOVE_SELECTOR, new SelectorMessages.SelectorName(name));
    }
  }

  /** Checks a selector without applying it. */
  @Parameters(commandDescription = "check a selector and show the shift that it would cause")
  public static final class CheckCommand implements Command {
    @Parameter(description = "'route NAME path /... to service ...'", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public Result run(Session session) {
      return DryRunPrinter.print(session.client().read(Operations.CHECK_SELECTOR, text(words)));
    }
  }

  private static SelectorMessages.SelectorText text(List<String> words) {
    return new SelectorMessages.SelectorText(String.join(" ", words));
  }
}
