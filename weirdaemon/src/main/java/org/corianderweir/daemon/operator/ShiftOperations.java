package org.corianderweir.daemon.operator;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.logic.configuration.SteeringChange;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.ResolvedSelector;
import org.corianderweir.logic.steering.ShiftState;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.steering.explain.SteeringExplainer;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.ShiftMessages;
import org.corianderweir.protocol.operator.ShiftMessages.ShareView;

/** Operations on shifts, and the operations that explain how requests are steered. */
final class ShiftOperations {
  private final OperatorContext context;

  ShiftOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(Operations.SHIFTS, none -> shifts());
    routes.change(
        Operations.PAUSE_SHIFT,
        (request, current, wallMilliseconds, options) ->
            new SteeringChange.PauseShift(request.selector(), wallMilliseconds));
    routes.change(
        Operations.RESUME_SHIFT,
        (request, current, wallMilliseconds, options) ->
            new SteeringChange.ResumeShift(request.selector(), wallMilliseconds));
    routes.change(
        Operations.TURN_BACK_SHIFT,
        (request, current, wallMilliseconds, options) ->
            new SteeringChange.TurnBackShift(request.selector(), wallMilliseconds));
    routes.read(
        Operations.EXPLAIN, request -> explainer().explain(request.path(), request.organisation()));
    routes.read(Operations.EXPLAIN_REQUEST, context.explainRequest());
  }

  private SteeringExplainer explainer() {
    return new SteeringExplainer(
        context.configuration().inForce(),
        context.steering().table(),
        context.steering().serverView(),
        context.time().wallMilliseconds());
  }

  private ShiftMessages.Shifts shifts() {
    EntryInstance self = context.settings().instance();
    long wallMilliseconds = context.time().wallMilliseconds();
    return new ShiftMessages.Shifts(
        self.name(),
        self.region(),
        context.steering().table().weights().stream()
            .map(weights -> toShiftView(weights, wallMilliseconds))
            .toList());
  }

  private static ShiftMessages.ShiftView toShiftView(
      SteeringTable.Weights weights, long wallMilliseconds) {
    ResolvedSelector resolved = weights.resolvedSelector();
    double[] target = resolved.targetShares();
    List<ShareView> shares = new ArrayList<>();
    for (int index = 0; index < target.length; index++) {
      Cell cell = resolved.cells().get(index);
      shares.add(
          new ShareView(
              SelectorFormatter.formatConditions(cell.key().conditions()),
              cell.region(),
              cell.key().availabilityZone(),
              weights.shares()[index],
              target[index],
              weights.conditions()[index]));
    }
    return new ShiftMessages.ShiftView(
        resolved.selector().name(),
        ShiftState.of(weights, wallMilliseconds),
        resolved.selector().capPerSecond(),
        shares);
  }
}
