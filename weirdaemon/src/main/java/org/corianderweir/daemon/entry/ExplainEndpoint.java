package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.RejectionReason;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.RequestSample;

/**
 * Explains what this instance would do with a sample request. Read only: nothing is sent to a
 * server, and no limit, budget or rotation is used.
 */
final class ExplainEndpoint {
  /** Identifier of sample requests, which places those without an object. */
  private static final String SAMPLE_IDENTIFIER = "explain";

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;

  private final FleetMember self;
  private final TrafficDirector director;
  private final Supplier<Optional<Duration>> viewAge;
  private final LongSupplier monotonicNanoseconds;

  /**
   * Creates an endpoint.
   *
   * @param viewAge returns the time since the store confirmed what this instance knows of the fleet
   */
  ExplainEndpoint(
      FleetMember self,
      TrafficDirector director,
      Supplier<Optional<Duration>> viewAge,
      LongSupplier monotonicNanoseconds) {
    this.self = self;
    this.director = director;
    this.viewAge = viewAge;
    this.monotonicNanoseconds = monotonicNanoseconds;
  }

  /** Returns the explanation of the sample request that a request describes. */
  HttpResponse answer(HttpRequest request) {
    try {
      return HttpResponse.json(STATUS_OK, Json.write(explain(request)));
    } catch (WeirException | IllegalArgumentException malformed) {
      return HttpResponse.json(
          STATUS_BAD_REQUEST,
          Json.write(
              new OperatorMessages.Failure(
                  ErrorCode.JSON_INVALID.name(), String.valueOf(malformed.getMessage()))));
    }
  }

  private RequestExplanation explain(HttpRequest request) {
    RequestSample sample = Json.fromFields(parameters(request), RequestSample.class);
    if (sample.hasInvalidFigures()) {
      throw new IllegalArgumentException("a length or a deadline is negative");
    }
    String region = sample.region().orElse(self.region());
    if (!director.regions().contains(region)) {
      throw new IllegalArgumentException(
          "no region " + region + ", but " + String.join(", ", director.regions()));
    }
    RequestAttributes attributes =
        new RequestAttributes(
            SAMPLE_IDENTIFIER,
            sample.host(),
            sample.path(),
            request.headers().first(RequestSample.KEY_HEADER),
            sample.object(),
            sample.deadlineMilliseconds().map(OptionalLong::of).orElseGet(OptionalLong::empty),
            Duration.ZERO);
    RequestExplanation explanation =
        director
            .explain(attributes, sample.bodyBytes(), region, monotonicNanoseconds.getAsLong())
            .withAge(viewAge.get());
    return explanation
        .outcome()
        .reason()
        .map(RejectionReason::valueOf)
        .map(reason -> explanation.withStatus(CallerResponses.status(reason)))
        .orElse(explanation);
  }

  private static Map<String, String> parameters(HttpRequest request) {
    Map<String, String> parameters = new LinkedHashMap<>();
    Arrays.stream(RequestSample.class.getRecordComponents())
        .forEach(
            component -> {
              String value = request.parameter(component.getName(), "");
              if (!value.isEmpty()) {
                parameters.put(component.getName(), value);
              }
            });
    return parameters;
  }
}
