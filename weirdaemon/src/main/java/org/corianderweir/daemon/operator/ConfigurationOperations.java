package org.corianderweir.daemon.operator;

import java.util.concurrent.CompletableFuture;
import org.corianderweir.coordination.InForceOperation;
import org.corianderweir.coordination.InForceReport;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.ConfigurationDifference;
import org.corianderweir.logic.configuration.SteeringEditor;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.ConfigurationMessages.DifferenceRequest;
import org.corianderweir.protocol.operator.ConfigurationMessages.RevisionRequest;
import org.corianderweir.protocol.operator.Operations;

/** Operations on the whole configuration, its revisions and where a revision is in force. */
final class ConfigurationOperations {
  private final OperatorContext context;

  ConfigurationOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.CONFIGURATION, none -> context.configuration().inForce());
    routes.read(
        Operations.CONFIGURATION_HISTORY,
        none -> new OperatorMessages.History(context.configuration().history()));
    routes.readAsync(
        Operations.CONFIGURATION_REVISION,
        request -> context.configuration().revision(revision(request)));
    routes.readAsync(Operations.CONFIGURATION_DIFFERENCE, this::difference);
    routes.readAsync(InForceOperation.IN_FORCE, this::inForce);
    routes.change(Operations.REPLACE_CONFIGURATION, ConfigurationOperations::replacement);
  }

  private long revision(RevisionRequest request) {
    return request.revision().orElseGet(() -> context.configuration().inForce().revision());
  }

  private CompletableFuture<InForceReport> inForce(RevisionRequest request) {
    return context.membership().inForce(revision(request));
  }

  private CompletableFuture<ConfigurationDifference> difference(DifferenceRequest request) {
    long to = request.to().orElseGet(() -> context.configuration().inForce().revision());
    long from = request.from().orElse(Math.max(0, to - 1));
    return context.configuration().difference(from, to);
  }

  private static ConfigurationChange replacement(
      Configuration requested, Configuration current, long wallMilliseconds, WriteOptions options) {
    Configuration content =
        options.keepKeys() ? requested.toBuilder().keys(current.keys()).build() : requested;
    return new ConfigurationChange.Replace(
        SteeringEditor.planReplacement(current, content, wallMilliseconds));
  }
}
