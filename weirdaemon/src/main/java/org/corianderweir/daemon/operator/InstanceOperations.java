package org.corianderweir.daemon.operator;

import com.codahale.metrics.Meter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operations;

/** Operations on this entry instance, and the operation that lists the live instances. */
final class InstanceOperations {
  private final OperatorContext context;

  InstanceOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.STATUS, none -> status());
    routes.read(
        Operations.INSTANCES,
        none -> new OperatorMessages.Instances(context.membership().members()));
    routes.read(
        Operations.TIMELINE, none -> new OperatorMessages.Timeline(context.events().events()));
    routes.read(Operations.METRICS, none -> meters());
    routes.write(Operations.STOP, (none, options) -> stop());
  }

  private OperatorMessages.Status status() {
    return new OperatorMessages.Status(
        context.settings().instance().name(),
        context.membership().state(),
        context.configuration().inForce().revision(),
        context.membership().members().size());
  }

  private OperatorMessages.Meters meters() {
    List<OperatorMessages.MeterValue> values =
        context.metrics().getMeters().entrySet().stream()
            .map(InstanceOperations::toMeterValue)
            .toList();
    return new OperatorMessages.Meters(values);
  }

  private static OperatorMessages.MeterValue toMeterValue(Map.Entry<String, Meter> entry) {
    return new OperatorMessages.MeterValue(
        entry.getKey(), entry.getValue().getCount(), entry.getValue().getOneMinuteRate());
  }

  private CompletableFuture<OperatorMessages.Accepted> stop() {
    context.requestStop().run();
    long revision = context.configuration().inForce().revision();
    return CompletableFuture.completedFuture(new OperatorMessages.Accepted(revision));
  }
}
