package org.corianderweir.daemon.traffic;

import java.util.Optional;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.model.configuration.Selector;

/**
 * What is known of a request while it is being answered.
 *
 * @param request the request as the caller sent it
 * @param snapshot the configuration that it is answered by
 * @param selector the selector that covers it
 * @param organisation the organisation that it runs for; absent on an open route
 * @param name text by which the time line and the backend server know it
 * @param identifier identifier by which it may be repeated; only for requests not idempotent
 * @param deadlineNanoseconds monotonic time at which the caller stops waiting
 */
record RequestContext(
    HttpRequest request,
    TrafficSnapshot snapshot,
    Selector selector,
    Optional<String> organisation,
    String name,
    Optional<RequestIdentifier> identifier,
    long deadlineNanoseconds) {

  RequestContext withOrganisation(String accepted) {
    return new RequestContext(
        request, snapshot, selector, Optional.of(accepted), name, identifier, deadlineNanoseconds);
  }
}
