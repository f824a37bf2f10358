package org.corianderweir.ctl;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.corianderweir.logic.steering.explain.DryRunReport;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/**
 * What a command works with.
 *
 * @param client client of the operators' interface
 * @param options options of the command line
 */
public record CommandContext(OperatorClient client, GlobalOptions options) {
  /** Asks for something that needs no request. */
  public <A> A read(Operation<Operation.NoRequest, A> operation) {
    return client.read(operation, new Operation.NoRequest());
  }

  /** Makes a change, or tries it if the command line says so, and returns what came of it. */
  public <Q extends Record> CommandResult change(
      Operation<Q, OperatorMessages.Accepted> operation, Q request) {
    return change(operation, request, options.expectedRevision(), Map.of());
  }

  /**
   * Makes a change, or tries it if the command line says so.
   *
   * @param expectedRevision revision that the change is based on; the one in force if negative
   * @param furtherParameters further options of the change
   */
  public <Q extends Record> CommandResult change(
      Operation<Q, OperatorMessages.Accepted> operation,
      Q request,
      long expectedRevision,
      Map<String, String> furtherParameters) {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put(
        Operation.EXPECTED_REVISION_PARAMETER, Long.toString(revisionOrCurrent(expectedRevision)));
    parameters.putAll(furtherParameters);
    if (options.dryRun()) {
      parameters.put(Operation.DRY_RUN_PARAMETER, "true");
      return DryRunFormatter.format(
          client.dryRun(operation, request, parameters, DryRunReport.class));
    }
    parameters.put(Operation.OPERATION_IDENTIFIER_PARAMETER, "weirctl/" + UUID.randomUUID());
    OperatorMessages.Accepted accepted = client.write(operation, request, parameters);
    return CommandResult.ofLine(accepted, "accepted as revision " + accepted.revision());
  }

  /** Returns the given revision, or the one in force if it is negative. */
  public long revisionOrCurrent(long requested) {
    return requested >= 0 ? requested : read(Operations.STATUS).revision();
  }
}
