package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.OrganisationMessages;
import org.corianderweir.protocol.operator.OrganisationMessages.ConcurrencyLimit;

/** Commands for organisations and fleet-wide limits. */
@Parameters(commandDescription = "organisations: list, set, remove")
public final class OrganisationCommands {
  /** Lists all organisations. */
  @Parameters(commandDescription = "list the organisations with their rates and bursts")
  public static final class ListCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      OrganisationMessages.Organisations organisations = context.read(Operations.ORGANISATIONS);
      return new CommandResult(organisations, table(organisations.organisations()).lines());
    }
  }

  /** Adds or replaces an organisation. */
  @Parameters(commandDescription = "add or replace an organisation")
  public static final class SetCommand implements Command {
    @Parameter(description = "NAME of the organisation", required = true)
    private String name = "";

    @Parameter(names = "--rate", description = "requests per second, fleet-wide", required = true)
    private double requestsPerSecond;

    @Parameter(
        names = "--burst",
        description = "requests at once after a quiet time, fleet-wide",
        required = true)
    private int burst;

    @Parameter(
        names = "--key-staleness-seconds",
        description =
            "how long a cut-off entry instance goes on to accept the keys; 0: the fleet's limit")
    private long keyStalenessSeconds;

    @Override
    public CommandResult run(CommandContext context) {
      Organisation organisation =
          new Organisation(
              name, requestsPerSecond, burst, Duration.ofSeconds(keyStalenessSeconds).toMillis());
      return context.change(
          Operations.SET_ORGANISATION, new OrganisationMessages.SetOrganisation(organisation));
    }
  }

  /** Removes an organisation that has no keys. */
  @Parameters(commandDescription = "remove an organisation without keys")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "NAME of the organisation", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(
          Operations.REMOVE_ORGANISATION, new OrganisationMessages.OrganisationName(name));
    }
  }

  /** Shows the limits that apply to the whole fleet. */
  @Parameters(commandDescription = "show the limits of organisations, regions, links and selectors")
  public static final class LimitsCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      OrganisationMessages.Limits limits = context.read(Operations.LIMITS);
      TextTable table = new TextTable("KIND", "NAME", "LIMIT");
      for (Organisation organisation : limits.organisations()) {
        table.add(
            "organisation",
            organisation.name(),
            organisation.requestsPerSecond() + " requests/s, burst " + organisation.burst());
      }
      limits.regions().forEach(region -> table.add("region", region.name(), text(region)));
      for (Link link : limits.links()) {
        table.add(
            "link",
            link.fromRegion() + " to " + link.toRegion(),
            link.megabitsPerSecond() + " Mbit/s");
      }
      limits
          .selectors()
          .forEach(selector -> table.add("selector", selector.name(), text(selector)));
      return new CommandResult(limits, table.lines());
    }

    private static String text(ConcurrencyLimit limit) {
      return limit.concurrency() == 0 ? "none" : limit.concurrency() + " requests at a time";
    }
  }

  private static TextTable table(List<Organisation> organisations) {
    TextTable table = new TextTable("ORGANISATION", "REQUESTS/S", "BURST", "KEY STALENESS");
    for (Organisation organisation : organisations) {
      table.add(
          organisation.name(),
          organisation.requestsPerSecond(),
          organisation.burst(),
          organisation.keyStalenessMilliseconds() + " ms");
    }
    return table;
  }
}
