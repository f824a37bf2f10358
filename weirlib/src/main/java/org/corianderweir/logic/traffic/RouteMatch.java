package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.TrafficRoute;

/** The route and the organisation of a request, or why it has none. */
sealed interface RouteMatch {
  /** The request has a route that it may use. */
  record Found(TrafficIndex index, TrafficRoute route, Optional<CallerOrganisation> organisation)
      implements RouteMatch {}

  /** The request can't be served. */
  record None(Admission.Rejected rejected) implements RouteMatch {}

  /** Returns the match of a request in a configuration. */
  static RouteMatch of(TrafficIndex index, RequestAttributes attributes, long bodyBytes) {
    Optional<TrafficRoute> route = index.route(attributes.host(), attributes.path());
    if (route.isEmpty()) {
      return none(RejectionReason.NO_ROUTE, Duration.ZERO);
    }
    Optional<CallerOrganisation> organisation = attributes.accessKey().flatMap(index::organisation);
    if (index.needsKeys() && !route.get().open() && organisation.isEmpty()) {
      return none(RejectionReason.KEY_UNKNOWN, Duration.ZERO);
    }
    if (bodyBytes > index.configuration().limits().maximumBodyBytes()) {
      return none(RejectionReason.BODY_TOO_LARGE, Duration.ZERO);
    }
    return new Found(index, route.get(), organisation);
  }

  static RouteMatch none(RejectionReason reason, Duration retryAfter) {
    return new None(new Admission.Rejected(reason, retryAfter));
  }
}
