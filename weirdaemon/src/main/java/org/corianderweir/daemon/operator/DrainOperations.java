package org.corianderweir.daemon.operator;

import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.delivery.DrainState;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.protocol.operator.DrainMessages;
import org.corianderweir.protocol.operator.Operations;

/** Operations that drain backend servers and list the drained ones. */
final class DrainOperations {
  private final OperatorContext context;

  DrainOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.DRAINS, none -> drains());
    routes.change(
        Operations.DRAIN,
        (request, current, wallMilliseconds, options) ->
            new ConfigurationChange.SetDrained(request.server(), true));
    routes.change(
        Operations.UNDRAIN,
        (request, current, wallMilliseconds, options) ->
            new ConfigurationChange.SetDrained(request.server(), false));
  }

  private DrainMessages.Drains drains() {
    Map<String, BackendServer> servers =
        context.configuration().inForce().backendServers().stream()
            .collect(Collectors.toMap(BackendServer::name, Function.identity()));
    return new DrainMessages.Drains(
        context.drains().get().stream()
            .filter(state -> servers.containsKey(state.server()))
            .map(
                state ->
                    toDrainedServer(Objects.requireNonNull(servers.get(state.server())), state))
            .toList());
  }

  private static DrainMessages.DrainedServer toDrainedServer(
      BackendServer server, DrainState state) {
    return new DrainMessages.DrainedServer(
        server.name(),
        server.service(),
        server.availabilityZone(),
        state.requestsInFlight(),
        state.drainedAfterMilliseconds());
  }
}
