package org.corianderweir.daemon.operator;

import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.SteeringEditor;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.operator.ConfigurationMessages;
import org.corianderweir.protocol.operator.Operations;

/** Operations on the whole configuration and its revisions. */
final class ConfigurationOperations {
  private final OperatorContext context;
  private final ConfigurationHistory history;

  ConfigurationOperations(OperatorContext context, ConfigurationHistory history) {
    this.context = context;
    this.history = history;
  }

  void register(RouteTable routes) {
    routes.read(Operations.CONFIGURATION, none -> context.configuration().inForce());
    routes.read(Operations.HISTORY, none -> new ConfigurationMessages.History(history.revisions()));
    routes.read(Operations.REVISION, request -> revision(request.revision()));
    routes.change(Operations.REPLACE_CONFIGURATION, ConfigurationOperations::replacement);
  }

  private Configuration revision(long revision) {
    return history
        .find(revision)
        .orElseThrow(
            () ->
                new WeirException(
                    ErrorCode.CONFIGURATION_INVALID,
                    "revision " + revision + " was not in force here lately"));
  }

  private static ConfigurationChange replacement(
      Configuration wanted, Configuration current, long wallMilliseconds, WriteOptions options) {
    Configuration content =
        options.keepKeys() ? wanted.toBuilder().keys(current.keys()).build() : wanted;
    return new ConfigurationChange.Replace(
        SteeringEditor.replacement(current, content, wallMilliseconds));
  }
}
