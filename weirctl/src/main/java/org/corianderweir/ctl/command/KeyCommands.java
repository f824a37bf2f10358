package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.Result;
import org.corianderweir.ctl.Session;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.KeyMessages;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/** Commands about keys. */
@Parameters(commandDescription = "keys: list, issue, withdraw")
public final class KeyCommands {
  /** Lists the keys in force. */
  @Parameters(commandDescription = "list the keys in force, never their secrets")
  public static final class ListCommand implements Command {
    @Override
    public Result run(Session session) {
      KeyMessages.Keys keys = session.read(Operations.KEYS);
      TextTable table = new TextTable("KEY", "ORGANISATION");
      keys.keys().forEach(key -> table.add(key.identifier(), key.organisation()));
      return new Result(keys, table.lines());
    }
  }

  /** Issues a key. */
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
    public Result run(Session session) {
      if (session.options().dryRun()) {
        throw Words.usage("a key moves no traffic", "leave out the dry run");
      }
      long expected = session.revision(session.options().expectedRevision());
      OperatorMessages.KeyIssued issued =
          session
              .client()
              .write(
                  Operations.ISSUE_KEY,
                  new KeyMessages.IssueKey(identifier, organisation),
                  Map.of(Operation.EXPECTED_REVISION, Long.toString(expected)));
      return new Result(
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
    public Result run(Session session) {
      return session.change(Operations.WITHDRAW_KEY, new KeyMessages.WithdrawKey(identifier));
    }
  }
}
