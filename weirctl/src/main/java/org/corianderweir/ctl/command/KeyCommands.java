package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.KeyMessages;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/** Commands for access keys. */
@Parameters(commandDescription = "keys: list, issue, withdraw")
public final class KeyCommands {
  /** Lists the keys in force. */
  @Parameters(commandDescription = "list the keys in force, never their secrets")
  public static final class ListCommand implements Command {
    @Override
    public CommandResult run(CommandContext context) {
      KeyMessages.Keys keys = context.read(Operations.KEYS);
      TextTable table = new TextTable("KEY", "ORGANISATION");
      keys.keys().forEach(key -> table.add(key.identifier(), key.organisation()));
      return new CommandResult(keys, table.lines());
    }
  }

  /** Issues a key and prints it. The key can't be shown again later. */
  @Parameters(commandDescription = "issue a key; it is shown this once")
  public static final class IssueCommand implements Command {
    @Parameter(description = "IDENTIFIER of the key", required = true)
    private String identifier = "";

    @Parameter(
        names = "--organisation",
        description = "organisation that the key belongs to",
        required = true)
    private String organisation = "";

    @Override
    public CommandResult run(CommandContext context) {
      if (context.options().dryRun()) {
        throw PositionalArguments.usageError("a key moves no traffic", "leave out the dry run");
      }
      long expectedRevision = context.revisionOrCurrent(context.options().expectedRevision());
      OperatorMessages.KeyIssued issued =
          context
              .client()
              .write(
                  Operations.ISSUE_KEY,
                  new KeyMessages.IssueKey(identifier, organisation),
                  Map.of(Operation.EXPECTED_REVISION_PARAMETER, Long.toString(expectedRevision)));
      return new CommandResult(
          issued,
          List.of(
              "accepted as revision " + issued.revision(),
              "key (shown this once): " + issued.key()));
    }
  }

  /** Withdraws a key. */
  @Parameters(commandDescription = "withdraw a key")
  public static final class WithdrawCommand implements Command {
    @Parameter(description = "IDENTIFIER of the key", required = true)
    private String identifier = "";

    @Override
    public CommandResult run(CommandContext context) {
      return context.change(Operations.WITHDRAW_KEY, new KeyMessages.WithdrawKey(identifier));
    }
  }
}
