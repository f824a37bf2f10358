package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.configuration.Site;
import org.corianderweir.protocol.operator.ClientBlockMessages;
import org.corianderweir.protocol.operator.Operations;

/** Commands for the sites that client blocks are steered to. */
@Parameters(commandDescription = "sites: list, set, remove")
public final class SiteCommands {
  /** Lists all sites. */
  @Parameters(commandDescription = "list the sites with their availability zones")
  public static final class ListCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      ClientBlockMessages.Sites sites = context.read(Operations.SITES);
      TextTable table = new TextTable("NUMBER", "SITE", "AVAILABILITY ZONE");
      for (Site site : sites.sites()) {
        table.add(site.number(), site.name(), site.availabilityZone());
      }
      return new CommandResult(sites, table.lines());
    }
  }

  /** Adds or replaces a site. */
  @Parameters(commandDescription = "add or replace a site")
  public static final class SetCommand implements Command {
    @Parameter(description = "NAME of the site", required = true)
    private String name = "";

    @Parameter(names = "--number", description = "number from 0 to 65534", required = true)
    private int number;

    @Parameter(
        names = "--zone",
        description = "availability zone that serves the site's clients",
        required = true)
    private String zone = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(
          Operations.SET_SITE, new ClientBlockMessages.SetSite(new Site(number, name, zone)));
    }
  }

  /** Removes a site that no client block is steered to. */
  @Parameters(commandDescription = "remove a site that no client block names")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "NAME of the site", required = true)
    private String name = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.REMOVE_SITE, new ClientBlockMessages.SiteName(name));
    }
  }
}
