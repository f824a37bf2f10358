package org.corianderweir.daemon.operator;

import org.corianderweir.logic.configuration.OrganisationChange;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.OrganisationMessages;
import org.corianderweir.protocol.operator.OrganisationMessages.ConcurrencyLimit;

/** Operations on organisations, and the operation that lists all limits. */
final class OrganisationOperations {
  private final OperatorContext context;

  OrganisationOperations(OperatorContext context) {
    this.context = context;
  }

  void register(RouteTable routes) {
    routes.read(
        Operations.ORGANISATIONS,
        none ->
            new OrganisationMessages.Organisations(
                context.configuration().inForce().organisations()));
    routes.read(Operations.LIMITS, none -> limits(context.configuration().inForce()));
    routes.change(
        Operations.SET_ORGANISATION,
        (request, current, wallMilliseconds, options) ->
            new OrganisationChange.SetOrganisation(request.organisation()));
    routes.change(
        Operations.REMOVE_ORGANISATION,
        (request, current, wallMilliseconds, options) ->
            new OrganisationChange.RemoveOrganisation(request.organisation()));
  }

  private static OrganisationMessages.Limits limits(Configuration configuration) {
    return new OrganisationMessages.Limits(
        configuration.organisations(),
        configuration.regions().stream()
            .map(region -> new ConcurrencyLimit(region.name(), region.concurrency()))
            .toList(),
        configuration.links(),
        configuration.selectors().stream()
            .map(selector -> new ConcurrencyLimit(selector.name(), selector.concurrency()))
            .toList());
  }
}
