package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.configuration.Site;
import org.corianderweir.protocol.operator.ClientBlockMessages;
import org.corianderweir.protocol.operator.Operations;

/** Commands for client blocks, which are IPv4 prefixes that are steered to sites. */
@Parameters(commandDescription = "client blocks: find, steer, remove")
public final class ClientBlockCommands {
  /** Shows the client block that contains a client, and the site that it is steered to. */
  @Parameters(commandDescription = "say which site a client's address is steered to")
  public static final class FindCommand implements Command {
    @Parameter(description = "ADDRESS of the client, IPv4", required = true)
    private String client = "";

    @Override
    public CommandResult run(CommandContext context) {
      ClientBlockMessages.Steering steering =
          context
              .client()
              .read(Operations.FIND_CLIENT_BLOCK, new ClientBlockMessages.Client(client));
      TextTable table = new TextTable("CLIENT", "BLOCK", "SITE", "AVAILABILITY ZONE");
      table.add(
          steering.client(),
          steering.prefix().orElse("none"),
          steering.site().map(Site::name).orElse("none"),
          steering.site().map(Site::availabilityZone).orElse("that of the instance asked"));
      return new CommandResult(steering, table.lines());
    }
  }

  /** Steers client blocks to a site. */
  @Parameters(commandDescription = "steer client blocks to a site; known blocks move")
  public static final class SteerCommand implements Command {
    @Parameter(description = "PREFIX..., for example 10.1.0.0/16", required = true)
    private List<String> prefixes = new ArrayList<>();

    @Parameter(names = "--site", description = "name of the site", required = true)
    private String site = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(
          Operations.STEER_CLIENT_BLOCKS, new ClientBlockMessages.SteerBlocks(prefixes, site));
    }
  }

  /** Removes client blocks. */
  @Parameters(commandDescription = "remove client blocks")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "PREFIX..., for example 10.1.0.0/16", required = true)
    private List<String> prefixes = new ArrayList<>();

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(
          Operations.REMOVE_CLIENT_BLOCKS, new ClientBlockMessages.Blocks(prefixes));
    }
  }
}
