package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.Result;
import org.corianderweir.ctl.Session;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.protocol.operator.LabelMessages;
import org.corianderweir.protocol.operator.Operations;

/** Commands about labels. */
@Parameters(commandDescription = "labels: list, set, remove")
public final class LabelCommands {
  /** Lists all labels. */
  @Parameters(commandDescription = "list the labels of regions, zones and backend servers")
  public static final class ListCommand implements Command {
    @Override
    public Result run(Session session) {
      LabelMessages.Labels labels = session.read(Operations.LABELS);
      TextTable table = new TextTable("SCOPE", "NAME", "LABEL", "VALUE");
      for (LabelMessages.LabelledItem item : labels.items()) {
        for (Label label : item.labels()) {
          table.add(item.scope().word(), item.name(), label.name(), label.value());
        }
      }
      return new Result(labels, table.lines());
    }
  }

  /** Attaches a label. */
  @Parameters(commandDescription = "attach a label: set SCOPE NAME LABEL VALUE")
  public static final class SetCommand implements Command {
    @Parameter(description = "server|zone|region NAME LABEL VALUE", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public Result run(Session session) {
      Words.check(words, "SCOPE", "NAME", "LABEL", "VALUE");
      return session.change(
          Operations.SET_LABEL,
          new LabelMessages.SetLabel(
              scope(words.get(0)), words.get(1), words.get(2), words.get(3)));
    }
  }

  /** Takes a label away. */
  @Parameters(commandDescription = "take a label away: remove SCOPE NAME LABEL")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "server|zone|region NAME LABEL", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public Result run(Session session) {
      Words.check(words, "SCOPE", "NAME", "LABEL");
      return session.change(
          Operations.REMOVE_LABEL,
          new LabelMessages.RemoveLabel(scope(words.get(0)), words.get(1), words.get(2)));
    }
  }

  private static LabelScope scope(String word) {
    try {
      return LabelScope.valueOf(word.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException unknown) {
      throw Words.usage("read scope '" + word + "'", "write server, zone or region");
    }
  }
}
