package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.protocol.operator.DrainMessages;
import org.corianderweir.protocol.operator.Operations;

/** Commands for draining backend servers. */
public final class DrainCommands {
  private DrainCommands() {}

  /** Starts draining a backend server. */
  @Parameters(commandDescription = "give a backend server no new requests")
  public static final class DrainCommand implements Command {
    @Parameter(description = "NAME of the backend server", required = true)
    private String server = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.DRAIN, new DrainMessages.ServerName(server));
    }
  }

  /** Ends the draining of a backend server. */
  @Parameters(commandDescription = "give a drained backend server requests again")
  public static final class UndrainCommand implements Command {
    @Parameter(description = "NAME of the backend server", required = true)
    private String server = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.UNDRAIN, new DrainMessages.ServerName(server));
    }
  }

  /** Lists the backend servers that are being drained or are drained. */
  @Parameters(commandDescription = "list the backend servers that are drained")
  public static final class ListCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      DrainMessages.Drains drains = context.read(Operations.DRAINS);
      TextTable table = new TextTable("SERVER", "SERVICE", "ZONE", "IN FLIGHT", "ENDED AFTER");
      drains
          .servers()
          .forEach(
              server ->
                  table.add(
                      server.server(),
                      server.service(),
                      server.availabilityZone(),
                      server.requestsInFlight(),
                      endedAfter(server)));
      return new CommandResult(drains, table.lines());
    }

    private static String endedAfter(DrainMessages.DrainedServer server) {
      long milliseconds = server.drainedAfterMilliseconds();
      return milliseconds < 0 ? "running" : milliseconds + " ms";
    }
  }
}
