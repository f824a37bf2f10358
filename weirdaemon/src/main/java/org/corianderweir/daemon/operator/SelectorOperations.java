package org.corianderweir.daemon.operator;

import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.configuration.SteeringChange;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.SelectorMessages;
import org.corianderweir.protocol.operator.SelectorMessages.SelectorView;

/** Operations that list, check, set and remove selectors. */
final class SelectorOperations {
  private final OperatorContext context;
  private final OperatorChangeHandler changeHandler;

  SelectorOperations(OperatorContext context, OperatorChangeHandler changeHandler) {
    this.context = context;
    this.changeHandler = changeHandler;
  }

  void register(RouteTable routes) {
    routes.read(Operations.SELECTORS, none -> selectors());
    routes.read(
        Operations.CHECK_SELECTOR,
        request ->
            changeHandler.dryRun(setSelector(request.text(), context.time().wallMilliseconds())));
    routes.change(
        Operations.SET_SELECTOR,
        (request, current, wallMilliseconds, options) ->
            setSelector(request.text(), wallMilliseconds));
    routes.change(
        Operations.REMOVE_SELECTOR,
        (request, current, wallMilliseconds, options) ->
            new SteeringChange.RemoveSelector(request.selector(), wallMilliseconds));
  }

  private static ConfigurationChange setSelector(String text, long wallMilliseconds) {
    return new SteeringChange.SetSelector(SelectorParser.parse(text), wallMilliseconds);
  }

  private SelectorMessages.Selectors selectors() {
    return new SelectorMessages.Selectors(
        context.configuration().inForce().selectors().stream()
            .map(selector -> new SelectorView(selector.name(), SelectorFormatter.format(selector)))
            .toList());
  }
}
