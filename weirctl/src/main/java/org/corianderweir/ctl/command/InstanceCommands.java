package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/** Commands for entry instances. */
public final class InstanceCommands {
  private InstanceCommands() {}

  /** Shows the state of the entry instance that answers. */
  @Parameters(commandDescription = "show the state of the entry instance that answers")
  public static final class StatusCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      OperatorMessages.Status status = context.read(Operations.STATUS);
      return new CommandResult(
          status,
          List.of(
              "instance  " + status.name(),
              "state     " + displayName(status.state()),
              "revision  " + status.revision(),
              "alive     " + status.instancesAlive() + " entry instances"));
    }
  }

  /** Lists the entry instances that are alive. */
  @Parameters(commandDescription = "list the entry instances that are alive")
  public static final class InstancesCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      OperatorMessages.Instances instances =
          new OperatorMessages.Instances(FleetMembers.all(context));
      TextTable table =
          new TextTable("INSTANCE", "REGION", "ZONE", "STATE", "REVISION", "OPERATORS");
      for (Member member : instances.members()) {
        EntryInstance instance = member.instance();
        table.add(
            instance.name(),
            instance.region(),
            instance.availabilityZone(),
            displayName(member.state()),
            member.revision(),
            operatorAddress(instance));
      }
      return new CommandResult(instances, table.lines());
    }
  }

  /** Shows the meters of all entry instances. */
  @Parameters(commandDescription = "show the meters of all entry instances")
  public static final class MetricsCommand implements Command {
    /**
     * The values of the meters of an entry instance.
     *
     * @param instance name of the instance
     * @param meters values of its meters; empty if the instance did not answer
     * @param answered whether the instance answered
     */
    public record InstanceMeters(
        String instance, List<OperatorMessages.MeterValue> meters, boolean answered) {}

    @Override
    public CommandResult run(CommandContext context) {
      List<InstanceMeters> all = new ArrayList<>();
      TextTable table = new TextTable("INSTANCE", "METER", "COUNT", "PER SECOND");
      for (Member member : FleetMembers.all(context)) {
        InstanceMeters meters = meters(context, member.instance());
        all.add(meters);
        for (OperatorMessages.MeterValue meter : meters.meters()) {
          String perSecond = String.format(Locale.ROOT, "%.1f", meter.perSecond());
          table.add(meters.instance(), meter.name(), meter.count(), perSecond);
        }
        if (!meters.answered()) {
          table.add(meters.instance(), "no answer", "-", "-");
        }
      }
      return new CommandResult(all, table.lines());
    }

    private static InstanceMeters meters(CommandContext context, EntryInstance instance) {
      try {
        OperatorMessages.Meters meters =
            context
                .client()
                .forInstance(operatorAddress(instance))
                .read(Operations.METRICS, new Operation.NoRequest());
        return new InstanceMeters(instance.name(), meters.meters(), true);
      } catch (CommandException noAnswer) {
        return new InstanceMeters(instance.name(), List.of(), false);
      }
    }
  }

  /** Begins a planned stop of an entry instance. */
  @Parameters(commandDescription = "begin a planned stop of an entry instance")
  public static final class StopCommand implements Command {
    @Parameter(description = "NAME of the entry instance", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      EntryInstance instance =
          FleetMembers.all(context).stream()
              .map(Member::instance)
              .filter(candidate -> candidate.name().equals(name))
              .findFirst()
              .orElseThrow(
                  () ->
                      new CommandException(
                          ExitStatus.FAILED,
                          "instance-unknown",
                          "no entry instance " + name + " is alive",
                          "look at 'weirctl instances'"));
      if (context.options().dryRun()) {
        return CommandResult.ofLine(instance, name + " would begin to leave");
      }
      OperatorMessages.Accepted accepted =
          context
              .client()
              .forInstance(operatorAddress(instance))
              .write(Operations.STOP, new Operation.NoRequest(), Map.of());
      return CommandResult.ofLine(accepted, name + " begins to leave");
    }
  }

  static HttpAddress operatorAddress(EntryInstance instance) {
    return new HttpAddress(instance.host(), instance.operatorPort());
  }

  static String displayName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
