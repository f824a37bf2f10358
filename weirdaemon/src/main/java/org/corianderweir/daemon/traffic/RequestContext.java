package org.corianderweir.daemon.traffic;

import java.util.Optional;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.model.configuration.Selector;

/**
 * A request and the data that its processing needs.
 *
 * @param request the request as the caller sent it
 * @param caller the connection of the caller
 * @param snapshot the configuration that applies to the request
 * @param selector the selector that matches the request
 * @param organisation the organisation of the caller's key; empty on an open route
 * @param name name of the request on the timeline and at the backend server
 * @param identifier identifier that makes the request safe to repeat; empty if the method is
 *     idempotent
 * @param deadlineNanoseconds monotonic time at which the caller stops waiting
 */
record RequestContext(
    HttpRequest request,
    CallerConnection caller,
    TrafficSnapshot snapshot,
    Selector selector,
    Optional<String> organisation,
    String name,
    Optional<RequestIdentifier> identifier,
    long deadlineNanoseconds) {

  RequestContext withOrganisation(Optional<String> accepted) {
    return new RequestContext(
        request, caller, snapshot, selector, accepted, name, identifier, deadlineNanoseconds);
  }

  /**
   * Returns whether the request is still to be delivered. A request with an identifier is delivered
   * although its caller has left, because the caller may be about to repeat it.
   */
  boolean isWanted() {
    return identifier.isPresent() || caller.isOpen();
  }
}
