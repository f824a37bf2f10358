package org.corianderweir.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.LimitService;
import org.corianderweir.http.HopByHop;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.keys.KeyDecision;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.steering.RouteDecision;
import org.corianderweir.logic.steering.ServerChooser;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.timeline.EventCode;

/** Takes one request through key, rate, choice of a backend server and delivery. */
final class RequestPipeline {
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
  private static final Duration DEADLINE_LIMIT = Duration.ofSeconds(60);
  private static final int STATUS_SERVER_REFUSED = 503;
  private static final String SERVER_REFUSED_HEADER = "Server-Refused";

  private final String instanceName;
  private final HttpClient client;
  private final LimitService limits;
  private final EventLog events;
  private final MetricRegistry metrics;
  private final TimeSource time;
  private final InFlightCounts inFlight = new InFlightCounts();

  RequestPipeline(
      String instanceName,
      HttpClient client,
      LimitService limits,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.instanceName = instanceName;
    this.client = client;
    this.limits = limits;
    this.events = events;
    this.metrics = metrics;
    this.time = time;
  }

  /** What is known of a request while it is being answered. */
  private record RequestContext(
      HttpCall call,
      TrafficSnapshot snapshot,
      Selector selector,
      Optional<String> organisation,
      String identifier,
      long deadlineNanoseconds) {}

  int requestsInFlight() {
    return inFlight.total();
  }

  CompletableFuture<HttpReply> answer(HttpCall call, TrafficSnapshot snapshot) {
    metrics.meter("requests").mark();
    String identifier =
        call.headers().first(CallerHeaders.REQUEST).orElseGet(() -> UUID.randomUUID().toString());
    return switch (snapshot.routes().find(call.path())) {
      case RouteDecision.NotFound notFound ->
          refuse(identifier, RefusalReason.NO_ROUTE, "no selector covers the path");
      case RouteDecision.Found found -> authorise(call, snapshot, found.selector(), identifier);
    };
  }

  private CompletableFuture<HttpReply> authorise(
      HttpCall call, TrafficSnapshot snapshot, Selector selector, String identifier) {
    Optional<Long> deadline = deadlineNanoseconds(call);
    if (deadline.isEmpty()) {
      return refuse(identifier, RefusalReason.REQUEST_INVALID, "the deadline is not a number");
    }
    if (selector.open()) {
      return deliver(
          new RequestContext(
              call, snapshot, selector, Optional.empty(), identifier, deadline.get()));
    }
    Optional<String> key = call.headers().first(CallerHeaders.KEY);
    if (key.isEmpty()) {
      return refuse(identifier, RefusalReason.KEY_MISSING, "the route needs a key");
    }
    return switch (snapshot.keys().check(key.get())) {
      case KeyDecision.Rejected rejected ->
          refuse(identifier, RefusalReason.KEY_REJECTED, "the key is not in force");
      case KeyDecision.Accepted accepted ->
          admit(
              new RequestContext(
                  call,
                  snapshot,
                  selector,
                  Optional.of(accepted.organisation()),
                  identifier,
                  deadline.get()),
              accepted.organisation());
    };
  }

  private CompletableFuture<HttpReply> admit(RequestContext context, String organisation) {
    List<String> allowed = context.selector().organisations();
    if (!allowed.isEmpty() && !allowed.contains(organisation)) {
      return refuse(
          context.identifier(), RefusalReason.ROUTE_FORBIDDEN, "not for this organisation");
    }
    return limits
        .admit(organisation, context.deadlineNanoseconds(), time.monotonicNanoseconds())
        .thenCompose(
            decision ->
                switch (decision) {
                  case AdmissionDecision.Admitted admitted -> deliver(context);
                  case AdmissionDecision.Refused refused ->
                      refuse(
                              context.identifier(),
                              RefusalReason.RATE_EXCEEDED,
                              "the organisation is over its rate")
                          .thenApply(
                              reply ->
                                  Refusals.retryAfter(reply, refused.retryAfterMilliseconds()));
                });
  }

  private CompletableFuture<HttpReply> deliver(RequestContext context) {
    List<BackendServer> candidates =
        context
            .snapshot()
            .candidates(context.selector().name(), ThreadLocalRandom.current().nextDouble());
    Optional<BackendServer> chosen =
        ServerChooser.choose(candidates, inFlight, ThreadLocalRandom.current());
    long remaining = context.deadlineNanoseconds() - time.monotonicNanoseconds();
    if (chosen.isEmpty() || remaining <= 0) {
      return refuse(
          context.identifier(), RefusalReason.NO_CAPACITY, "no backend server is free in time");
    }
    BackendServer server = chosen.get();
    events.record(EventCode.REQUEST_SENT, context.identifier(), "server=" + server.name());
    inFlight.begin(server);
    CompletableFuture<HttpReply> exchange =
        client.exchange(
            new HttpAddress(server.host(), server.port()),
            forwarded(context, remaining),
            Duration.ofNanos(remaining));
    CompletableFuture<HttpReply> reply =
        exchange
            .whenComplete((answer, failure) -> inFlight.end(server))
            .handle((answer, failure) -> outcome(context, server, answer, failure));
    reply.whenComplete(
        (answer, failure) -> {
          if (reply.isCancelled()) {
            exchange.cancel(false);
          }
        });
    return reply;
  }

  private HttpCall forwarded(RequestContext context, long remainingNanoseconds) {
    HttpHeaders headers =
        HopByHop.strip(context.call().headers())
            .without(CallerHeaders.NOT_HANDED_ON)
            .with(CallerHeaders.REQUEST, context.identifier())
            .with(
                CallerHeaders.DEADLINE_MILLISECONDS,
                Long.toString(Duration.ofNanos(remainingNanoseconds).toMillis()));
    if (context.organisation().isPresent()) {
      headers = headers.with(CallerHeaders.ORGANISATION, context.organisation().get());
    }
    HttpCall call = context.call();
    return new HttpCall(call.method(), call.target(), headers, call.body());
  }

  private HttpReply outcome(
      RequestContext context,
      BackendServer server,
      @org.jspecify.annotations.Nullable HttpReply answer,
      @org.jspecify.annotations.Nullable Throwable failure) {
    if (answer == null) {
      return refusal(context.identifier(), reason(failure), "backend server " + server.name());
    }
    boolean refusedByServer =
        answer.status() == STATUS_SERVER_REFUSED
            && answer.headers().first(SERVER_REFUSED_HEADER).isPresent();
    if (refusedByServer) {
      return refusal(
          context.identifier(), RefusalReason.NO_CAPACITY, "refused by " + server.name());
    }
    metrics.meter("answers").mark();
    events.record(EventCode.REQUEST_ANSWERED, context.identifier(), "server=" + server.name());
    HttpHeaders headers =
        HopByHop.strip(answer.headers())
            .with(CallerHeaders.BACKEND_SERVER, server.name())
            .with(CallerHeaders.ENTRY_INSTANCE, instanceName);
    return new HttpReply(answer.status(), headers, answer.body());
  }

  private static RefusalReason reason(@org.jspecify.annotations.Nullable Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof WeirException typed) {
      if (typed.code() == ErrorCode.CONNECT_FAILED) {
        return RefusalReason.BACKEND_UNREACHABLE;
      }
      if (typed.code() == ErrorCode.DEADLINE_EXCEEDED) {
        return RefusalReason.DEADLINE_EXCEEDED;
      }
    }
    return RefusalReason.ANSWER_LOST;
  }

  private CompletableFuture<HttpReply> refuse(
      String identifier, RefusalReason reason, String message) {
    return CompletableFuture.completedFuture(refusal(identifier, reason, message));
  }

  private HttpReply refusal(String identifier, RefusalReason reason, String message) {
    metrics.meter("refusals." + reason.code()).mark();
    EventCode code =
        switch (reason.execution()) {
          case NOT_RUN -> EventCode.REQUEST_REFUSED;
          case UNKNOWN -> EventCode.REQUEST_UNKNOWN;
        };
    events.record(code, identifier, reason.code() + ": " + message);
    return Refusals.reply(reason, message, instanceName);
  }

  private Optional<Long> deadlineNanoseconds(HttpCall call) {
    Optional<String> text = call.headers().first(CallerHeaders.DEADLINE_MILLISECONDS);
    long now = time.monotonicNanoseconds();
    if (text.isEmpty()) {
      return Optional.of(now + DEFAULT_DEADLINE.toNanos());
    }
    try {
      long milliseconds = Long.parseLong(text.get());
      long limited = Math.clamp(milliseconds, 0, DEADLINE_LIMIT.toMillis());
      return Optional.of(now + Duration.ofMillis(limited).toNanos());
    } catch (NumberFormatException notANumber) {
      return Optional.empty();
    }
  }
}
