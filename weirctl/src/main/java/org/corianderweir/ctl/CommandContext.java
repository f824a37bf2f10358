package org.corianderweir.ctl;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.corianderweir.logic.steering.explain.DryRunReport;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/**
 * The client and the options that a command uses.
 *
 * @param client client of the operators' interface
 * @param options global options of the command line
 */
public record CommandContext(OperatorClient client, GlobalOptions options) {
  /** Runs an operation that changes nothing and has no parameters. */
  public <A> A read(Operation<Operation.NoRequest, A> operation) {
    return client.read(operation, new Operation.NoRequest());
  }

  /**
   * Makes a change that is based on the revision from the command line. With {@code --dry-run},
   * only reports the effect of the change.
   */
  public <Q extends Record> CommandResult change(
      Operation<Q, OperatorMessages.Accepted> operation, Q request) {
    return change(operation, request, options.expectedRevision(), Map.of());
  }

  /**
   * Makes a change. With {@code --dry-run}, only reports the effect of the change.
   *
   * @param operation the operation that makes the change
   * @param request request of the operation
   * @param expectedRevision revision that the change is based on; the one in force if negative
   * @param furtherParameters additional query parameters of the change
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

  /** Returns the requested revision, or the revision in force if the requested one is negative. */
  public long revisionOrCurrent(long requested) {
    return requested >= 0 ? requested : read(Operations.STATUS).revision();
  }
}
