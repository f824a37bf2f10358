package org.corianderweir.daemon.operator;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.corianderweir.logic.configuration.SteeringChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.protocol.operator.LabelMessages;
import org.corianderweir.protocol.operator.LabelMessages.LabelledItem;
import org.corianderweir.protocol.operator.Operations;

/** Operations on the labels of regions, availability zones and backend servers. */
final class LabelOperations {
  private final OperatorContext context;

  LabelOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.LABELS, none -> labels(context.configuration().inForce()));
    routes.change(
        Operations.SET_LABEL,
        (request, current, wallMilliseconds, options) ->
            new SteeringChange.SetLabel(
                request.scope(), request.name(), new Label(request.label(), request.value())));
    routes.change(
        Operations.REMOVE_LABEL,
        (request, current, wallMilliseconds, options) ->
            new SteeringChange.RemoveLabel(request.scope(), request.name(), request.label()));
  }

  private static LabelMessages.Labels labels(Configuration configuration) {
    Stream<LabelledItem> regions =
        configuration.regions().stream()
            .map(region -> new LabelledItem(LabelScope.REGION, region.name(), region.labels()));
    Stream<LabelledItem> zones =
        configuration.zones().stream()
            .map(zone -> new LabelledItem(LabelScope.ZONE, zone.name(), zone.labels()));
    Stream<LabelledItem> servers =
        configuration.backendServers().stream()
            .map(server -> new LabelledItem(LabelScope.SERVER, server.name(), server.labels()));
    List<LabelledItem> items =
        Stream.of(regions, zones, servers).flatMap(Function.identity()).toList();
    return new LabelMessages.Labels(items);
  }
}
