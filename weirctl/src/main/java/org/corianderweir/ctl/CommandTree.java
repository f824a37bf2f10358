package org.corianderweir.ctl;

import com.beust.jcommander.JCommander;
import java.util.List;
import java.util.Objects;
import org.corianderweir.ctl.command.ClientBlockCommands;
import org.corianderweir.ctl.command.ConfigurationCommands;
import org.corianderweir.ctl.command.DrainCommands;
import org.corianderweir.ctl.command.ExplainRequestCommand;
import org.corianderweir.ctl.command.InstanceCommands;
import org.corianderweir.ctl.command.KeyCommands;
import org.corianderweir.ctl.command.LabelCommands;
import org.corianderweir.ctl.command.LogCommand;
import org.corianderweir.ctl.command.OrganisationCommands;
import org.corianderweir.ctl.command.SelectorCommands;
import org.corianderweir.ctl.command.ShiftCommands;
import org.corianderweir.ctl.command.SiteCommands;
import org.corianderweir.ctl.command.TimelineCommand;

/** Builds the tree of commands and command groups of {@code weirctl}. */
final class CommandTree {
  private CommandTree() {}

  static JCommander build(GlobalOptions options) {
    JCommander root =
        JCommander.newBuilder()
            .programName("weirctl")
            .addObject(options)
            .acceptUnknownOptions(false)
            .build();
    root.setCaseSensitiveOptions(true);
    add(root, options, "status", new InstanceCommands.StatusCommand());
    add(root, options, "instances", new InstanceCommands.InstancesCommand());
    add(root, options, "metrics", new InstanceCommands.MetricsCommand());
    add(root, options, "stop", new InstanceCommands.StopCommand());
    JCommander labels = group(root, options, "labels", new LabelCommands());
    add(labels, options, "list", new LabelCommands.ListCommand());
    add(labels, options, "set", new LabelCommands.SetCommand());
    add(labels, options, "remove", new LabelCommands.RemoveCommand());
    JCommander selectors = group(root, options, "selectors", new SelectorCommands());
    add(selectors, options, "list", new SelectorCommands.ListCommand());
    add(selectors, options, "set", new SelectorCommands.SetCommand());
    add(selectors, options, "remove", new SelectorCommands.RemoveCommand());
    add(selectors, options, "check", new SelectorCommands.CheckCommand());
    JCommander organisations = group(root, options, "organisations", new OrganisationCommands());
    add(organisations, options, "list", new OrganisationCommands.ListCommand());
    add(organisations, options, "set", new OrganisationCommands.SetCommand());
    add(organisations, options, "remove", new OrganisationCommands.RemoveCommand());
    add(root, options, "limits", new OrganisationCommands.LimitsCommand());
    JCommander sites = group(root, options, "sites", new SiteCommands());
    add(sites, options, "list", new SiteCommands.ListCommand());
    add(sites, options, "set", new SiteCommands.SetCommand());
    add(sites, options, "remove", new SiteCommands.RemoveCommand());
    JCommander blocks = group(root, options, "blocks", new ClientBlockCommands());
    add(blocks, options, "find", new ClientBlockCommands.FindCommand());
    add(blocks, options, "steer", new ClientBlockCommands.SteerCommand());
    add(blocks, options, "remove", new ClientBlockCommands.RemoveCommand());
    JCommander keys = group(root, options, "keys", new KeyCommands());
    add(keys, options, "list", new KeyCommands.ListCommand());
    add(keys, options, "issue", new KeyCommands.IssueCommand());
    add(keys, options, "withdraw", new KeyCommands.WithdrawCommand());
    add(root, options, "drain", new DrainCommands.DrainCommand());
    add(root, options, "undrain", new DrainCommands.UndrainCommand());
    add(root, options, "drains", new DrainCommands.ListCommand());
    JCommander shift = group(root, options, "shift", new ShiftCommands());
    add(shift, options, "show", new ShiftCommands.ShowCommand());
    add(shift, options, "pause", new ShiftCommands.PauseCommand());
    add(shift, options, "resume", new ShiftCommands.ResumeCommand());
    add(shift, options, "turn-back", new ShiftCommands.TurnBackCommand());
    JCommander configuration = group(root, options, "config", new ConfigurationCommands());
    add(configuration, options, "show", new ConfigurationCommands.ShowCommand());
    add(configuration, options, "history", new ConfigurationCommands.HistoryCommand());
    add(configuration, options, "in-force", new ConfigurationCommands.InForceCommand());
    add(configuration, options, "diff", new ConfigurationCommands.DiffCommand());
    add(configuration, options, "apply", new ConfigurationCommands.ApplyCommand());
    add(root, options, "explain", new ShiftCommands.ExplainCommand());
    add(root, options, CommandLine.EXPLAIN_REQUEST_COMMAND, new ExplainRequestCommand());
    add(root, options, CommandLine.DRY_RUN_COMMAND, new DryRunCommand());
    add(root, options, "timeline", new TimelineCommand());
    add(root, options, "log", new LogCommand());
    return root;
  }

  private static JCommander group(
      JCommander parent, GlobalOptions options, String name, Object description) {
    parent.addCommand(name, List.of(description, options));
    return child(parent, name);
  }

  private static void add(JCommander parent, GlobalOptions options, String name, Object command) {
    parent.addCommand(name, List.of(command, options));
  }

  /** Returns the command or group with a name. It must have been added before. */
  static JCommander child(JCommander parent, String name) {
    return Objects.requireNonNull(parent.getCommands().get(name), name);
  }
}
