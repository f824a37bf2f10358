package org.corianderweir.daemon.traffic;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.RetryBudget;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.logic.steering.ServerChooser;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.request.Execution;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.timeline.EventCode;
import org.jspecify.annotations.Nullable;

/** Sends admitted requests to backend servers and decides after each attempt how to go on. */
final class Delivery {
  private static final int STATUS_SERVER_REFUSED = 503;
  private static final String SERVER_REFUSED_HEADER = "Server-Refused";
  private static final String SERVER_REFUSED_NOT_RUN = "not-run";
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double RETRIES_SAVED_UP = 10;

  private final HttpClient client;
  private final Refusals refusals;
  private final BackendMessages messages;
  private final EventLog events;
  private final TimeSource time;
  private final Meter answers;
  private final Meter retries;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, RETRIES_SAVED_UP);

  Delivery(
      String instanceName,
      HttpClient client,
      Refusals refusals,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.client = client;
    this.refusals = refusals;
    this.messages = new BackendMessages(instanceName);
    this.events = events;
    this.time = time;
    this.answers = metrics.meter("answers");
    this.retries = metrics.meter("retries");
  }

  int requestsInFlight() {
    return inFlight.total();
  }

  /** Delivers a request; to cancel the future ends the attempt that is underway. */
  CompletableFuture<HttpReply> deliver(RequestContext context) {
    budget.deposit();
    Attempts attempts = new Attempts(context);
    attempts.next();
    return attempts.result;
  }

  /** The attempts of one request, one after another. */
  private final class Attempts {
    private final RequestContext context;
    private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private final double draw = ThreadLocalRandom.current().nextDouble();
    private final Set<String> tried = new HashSet<>();
    private Execution execution = Execution.NOT_RUN;
    private RefusalReason lastReason = RefusalReason.NO_CAPACITY;

    Attempts(RequestContext context) {
      this.context = context;
    }

    private void next() {
      long remaining = context.deadlineNanoseconds() - time.monotonicNanoseconds();
      Optional<BackendServer> chosen = remaining > 0 ? choose() : Optional.empty();
      if (result.isDone()) {
        return;
      }
      if (chosen.isEmpty()) {
        refuse(lastReason, "no backend server is free in time");
        return;
      }
      send(chosen.get(), remaining);
    }

    private Optional<BackendServer> choose() {
      List<BackendServer> untried =
          context.snapshot().candidates(context.selector().name(), draw).stream()
              .filter(server -> !tried.contains(server.name()))
              .toList();
      return ServerChooser.choose(untried, inFlight, ThreadLocalRandom.current());
    }

    private void send(BackendServer server, long remainingNanoseconds) {
      tried.add(server.name());
      events.record(EventCode.REQUEST_SENT, context.name(), "server=" + server.name());
      inFlight.begin(server);
      CompletableFuture<HttpReply> exchange =
          client.exchange(
              new HttpAddress(server.host(), server.port()),
              messages.forwarded(context, remainingNanoseconds),
              Duration.ofNanos(remainingNanoseconds));
      result.whenComplete((answer, failure) -> exchange.cancel(false));
      exchange.whenComplete(
          (answer, failure) -> {
            inFlight.end(server);
            if (!result.isDone()) {
              ended(server, answer, failure);
            }
          });
    }

    private void ended(
        BackendServer server, @Nullable HttpReply answer, @Nullable Throwable failure) {
      if (answer == null) {
        retryOrRefuse(reason(failure), server);
      } else if (isRefusal(answer)) {
        retryOrRefuse(RefusalReason.NO_CAPACITY, server);
      } else {
        answers.mark();
        events.record(EventCode.REQUEST_ANSWERED, context.name(), "server=" + server.name());
        result.complete(messages.returned(server, answer));
      }
    }

    private void retryOrRefuse(RefusalReason reason, BackendServer server) {
      lastReason = reason;
      if (reason.execution() == Execution.UNKNOWN) {
        execution = Execution.UNKNOWN;
      }
      long remaining = context.deadlineNanoseconds() - time.monotonicNanoseconds();
      String method = context.call().method();
      if (RetryPolicy.mayRetry(method, reason.execution(), remaining, budget)) {
        retries.mark();
        next();
      } else {
        refuse(reason, "backend server " + server.name());
      }
    }

    /** A request that may have run in one attempt is not called not-run after another. */
    private void refuse(RefusalReason reason, String message) {
      result.complete(refusals.refuse(context.name(), reason, execution, message));
    }
  }

  private static boolean isRefusal(HttpReply answer) {
    return answer.status() == STATUS_SERVER_REFUSED
        && answer
            .headers()
            .first(SERVER_REFUSED_HEADER)
            .filter(SERVER_REFUSED_NOT_RUN::equalsIgnoreCase)
            .isPresent();
  }

  private static RefusalReason reason(@Nullable Throwable failure) {
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
}
