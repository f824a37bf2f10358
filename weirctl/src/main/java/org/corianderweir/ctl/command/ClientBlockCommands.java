package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.Result;
import org.corianderweir.ctl.Session;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.model.configuration.Site;
import org.corianderweir.protocol.operator.ClientBlockMessages;
import org.corianderweir.protocol.operator.Operations;

/** Commands about client blocks. */
@Parameters(commandDescription = "client blocks: find, steer, remove")
public final class ClientBlockCommands {
  /** Finds the block of a client. */
  @Parameters(commandDescription = "say which site a client's address is steered to")
  public static final class FindCommand implements Command {
    @Parameter(description = "ADDRESS of the client, IPv4", required = true)
    private String client = "";

    @Override
    public Result run(Session session) {
      ClientBlockMessages.Steering steering =
          session.client().read(Operations.CLIENT_STEERING, new ClientBlockMessages.Client(client));
      TextTable table = new TextTable("CLIENT", "BLOCK", "SITE", "AVAILABILITY ZONE");
      table.add(
          steering.client(),
          steering.prefix().orElse("none"),
          steering.site().map(Site::name).orElse("none"),
          steering.site().map(Site::availabilityZone).orElse("that of the instance asked"));
      return new Result(steering, table.lines());
    }
  }

  /** Steers blocks to a site. */
  @Parameters(commandDescription = "steer client blocks to a site; known blocks move")
  public static final class SteerCommand implements Command {
    @Parameter(description = "PREFIX..., for example 10.1.0.0/16", required = true)
    private List<String> prefixes = new ArrayList<>();

    @Parameter(names = "--site", description = "name of the site", required = true)
    private String site = "";

    @Override
    public Result run(Session session) {
      return session.change(
          Operations.STEER_BLOCKS, new ClientBlockMessages.SteerBlocks(prefixes, site));
    }
  }

  /** Removes blocks. */
  @Parameters(commandDescription = "remove client blocks")
  public static final class RemoveCommand implements Command {
    @Parameter(description = "PREFIX..., for example 10.1.0.0/16", required = true)
    private List<String> prefixes = new ArrayList<>();

    @Override
    public Result run(Session session) {
      return session.change(Operations.REMOVE_BLOCKS, new ClientBlockMessages.Blocks(prefixes));
    }
  }
}
