package org.corianderweir.daemon.operator;

import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.protocol.operator.DrainMessages;
import org.corianderweir.protocol.operator.Operations;

/** Operations on the drain of backend servers. */
final class DrainOperations {
  private final OperatorContext context;

  DrainOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.DRAINS, none -> drains());
    routes.change(
        Operations.DRAIN,
        (request, current, wall, options) ->
            new ConfigurationChange.SetDrained(request.server(), true));
    routes.change(
        Operations.UNDRAIN,
        (request, current, wall, options) ->
            new ConfigurationChange.SetDrained(request.server(), false));
  }

  private DrainMessages.Drains drains() {
    return new DrainMessages.Drains(
        context.configuration().inForce().backendServers().stream()
            .filter(BackendServer::drained)
            .map(
                server ->
                    new DrainMessages.DrainedServer(
                        server.name(), server.service(), server.availabilityZone()))
            .toList());
  }
}
