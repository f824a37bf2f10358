package org.corianderweir.daemon.traffic;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.steering.CapacityPermit;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.RetryBudget;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.logic.delivery.ServerHealth;
import org.corianderweir.logic.delivery.ServerSelection;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.SteeringDecision;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.request.Execution;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.timeline.EventCode;
import org.jspecify.annotations.Nullable;

/**
 * Sends admitted requests to backend servers. After each attempt it returns the response, retries
 * or refuses the request.
 */
final class Delivery {
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int STATUS_INTERNAL_SERVER_ERROR = 500;

  /** A queued request with less time left is not sent: its outcome would likely stay unknown. */
  private static final Duration MINIMUM_REMAINING_TIME = Duration.ofMillis(40);

  private static final Duration REFUSAL_COOLDOWN = Duration.ofMillis(5);
  private static final String SERVER_REFUSED_HEADER = "Server-Refused";
  private static final String SERVER_REFUSED_NOT_RUN = "not-run";
  private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
  private static final double RETRY_BUDGET_CAPACITY = 10;

  private final HttpClient client;
  private final CapacityAdmission capacityAdmission;
  private final Refusals refusals;
  private final BackendMessages messages;
  private final EventLog events;
  private final TimeSource time;
  private final Meter responses;
  private final Meter retries;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final HealthTable health = new HealthTable();
  private final PendingRequestQueues pendingRequests = new PendingRequestQueues();
  private final RetryBudget retryBudget =
      new RetryBudget(RETRY_TOKENS_PER_REQUEST, RETRY_BUDGET_CAPACITY);

  Delivery(
      String instanceName,
      HttpClient client,
      CapacityAdmission capacityAdmission,
      Refusals refusals,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.client = client;
    this.capacityAdmission = capacityAdmission;
    this.refusals = refusals;
    this.messages = new BackendMessages(instanceName);
    this.events = events;
    this.time = time;
    this.responses = metrics.meter("answers");
    this.retries = metrics.meter("retries");
  }

  /** Returns the number of requests that this entry instance has in flight at a backend server. */
  int inFlight(BackendServer server) {
    return inFlight.inFlight(server);
  }

  /**
   * Returns the condition of a backend server, as far as the outcomes of this entry instance's own
   * requests show it.
   */
  CellConditionEvaluator.ServerCondition condition(BackendServer server) {
    long nowNanoseconds = time.monotonicNanoseconds();
    ServerHealth serverHealth = health.of(server, nowNanoseconds);
    boolean usable = !serverHealth.isEjected(nowNanoseconds);
    double utilisation =
        serverHealth.isOverloaded(nowNanoseconds)
            ? 1
            : Math.min(1, (double) inFlight.inFlight(server) / server.slots());
    return new CellConditionEvaluator.ServerCondition(usable, usable, true, utilisation);
  }

  HealthTable health() {
    return health;
  }

  void stop() {
    pendingRequests.stop();
  }

  /** Delivers a request. Cancelling the future cancels the current attempt. */
  CompletableFuture<HttpResponse> deliver(RequestContext context) {
    retryBudget.deposit();
    Attempts attempts = new Attempts(context);
    attempts.attemptNext();
    return attempts.result;
  }

  /**
   * Returns the servers of a cell for a new request, without recording that they are considered.
   */
  List<ServerSelection.Candidate<BackendServer>> explainedCandidates(
      Cell cell, long nowNanoseconds) {
    return candidates(cell, Set.of(), server -> health.peek(server, nowNanoseconds));
  }

  private List<ServerSelection.Candidate<BackendServer>> candidates(
      Cell cell, Set<String> failedServers, Function<BackendServer, ServerHealth> healthOf) {
    return cell.servers().stream()
        .filter(server -> !failedServers.contains(server.name()))
        .map(
            server ->
                new ServerSelection.Candidate<>(
                    server, server.slots(), inFlight.inFlight(server), healthOf.apply(server)))
        .toList();
  }

  /** Returns whether requests of a selector wait for the servers of a list. */
  boolean hasPendingRequests(String selector, List<BackendServer> servers) {
    return !pendingRequests.isEmpty(queueName(selector, servers));
  }

  /**
   * Returns the name of the queue to wait in; the requests of a queue can use the same servers.
   *
   * @param servers the servers that the request may be sent to at present
   */
  private static String queueName(String selector, List<BackendServer> servers) {
    return servers.isEmpty()
        ? selector + PendingRequestQueues.NO_SERVER_SUFFIX
        : selector + '/' + servers.getFirst().availabilityZone();
  }

  /** The attempts to deliver one request, one after another. */
  private final class Attempts implements PendingRequestQueues.PendingRequest {
    private final RequestContext context;
    private final String selector;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private final double draw = ThreadLocalRandom.current().nextDouble();
    private final Set<String> failedServers = new HashSet<>();
    private Execution execution = Execution.NOT_RUN;
    private volatile boolean hasWaited;
    private RefusalReason lastReason = RefusalReason.NO_CAPACITY;

    Attempts(RequestContext context) {
      this.context = context;
      this.selector = context.selector().name();
    }

    private void attemptNext() {
      String queueName = queueName(selector, servers());
      Optional<Runnable> send =
          pendingRequests.isEmpty(queueName) ? tryReserve() : Optional.empty();
      if (send.isPresent()) {
        send.get().run();
        return;
      }
      long remainingNanoseconds = remainingNanoseconds();
      if (remainingNanoseconds <= 0 || allServersFailed()) {
        refuseUnserved();
        return;
      }
      hasWaited = true;
      pendingRequests.enqueue(queueName, this, remainingNanoseconds);
      result.whenComplete((response, failure) -> pendingRequests.remove(queueName, this));
    }

    @Override
    public Optional<Runnable> tryReserve() {
      if (result.isDone()
          || remainingNanoseconds() <= (hasWaited ? MINIMUM_REMAINING_TIME.toNanos() : 0)) {
        return Optional.empty();
      }
      return switch (context.snapshot().steer(selector, draw)) {
        case SteeringDecision.Candidates found -> tryReserveServerIn(found.cell());
        case SteeringDecision.Unavailable unavailable -> Optional.empty();
      };
    }

    private Optional<Runnable> tryReserveServerIn(Cell cell) {
      long nowNanoseconds = time.monotonicNanoseconds();
      return ServerSelection.choose(
              candidates(cell, failedServers, server -> health.of(server, nowNanoseconds)),
              ThreadLocalRandom.current(),
              nowNanoseconds)
          .flatMap(chosen -> reserveServer(cell, chosen.server(), nowNanoseconds));
    }

    @Override
    public void refuseUnserved() {
      refuse(lastReason, "no backend server is free in time");
    }

    private Optional<Runnable> reserveServer(Cell cell, BackendServer server, long nowNanoseconds) {
      Optional<CapacityPermit> permit =
          capacityAdmission.tryAcquire(
              cell,
              selector,
              context.request().body().length,
              context.deadlineNanoseconds(),
              nowNanoseconds);
      permit.ifPresent(acquired -> inFlight.begin(server));
      return permit.map(acquired -> () -> send(server, acquired));
    }

    /** Returns the backend servers that the request may be sent to at present. */
    private List<BackendServer> servers() {
      return switch (context.snapshot().steer(selector, draw)) {
        case SteeringDecision.Candidates found -> found.cell().servers();
        case SteeringDecision.Unavailable unavailable -> List.of();
      };
    }

    /** Returns whether every server that the request may be sent to has already failed it. */
    private boolean allServersFailed() {
      List<BackendServer> servers = servers();
      return !servers.isEmpty()
          && servers.stream().allMatch(server -> failedServers.contains(server.name()));
    }

    private void send(BackendServer server, CapacityPermit permit) {
      events.record(EventCode.REQUEST_SENT, context.name(), server.name());
      long sentNanoseconds = time.monotonicNanoseconds();
      long remainingNanoseconds = Math.max(1, remainingNanoseconds());
      CompletableFuture<HttpResponse> exchange =
          client.exchange(
              new HttpAddress(server.host(), server.port()),
              messages.toBackendRequest(context, remainingNanoseconds),
              Duration.ofNanos(remainingNanoseconds),
              this::isWanted);
      result.whenComplete((response, failure) -> exchange.cancel(false));
      exchange.whenComplete(
          (response, failure) -> {
            inFlight.end(server);
            permit.release(response == null ? 0 : response.body().length);
            if (!result.isDone()) {
              onExchangeEnded(
                  server, response, failure, time.monotonicNanoseconds() - sentNanoseconds);
            }
            pendingRequests.dispatchPending(queueName(selector, List.of(server)));
          });
    }

    private boolean isWanted() {
      if (context.isWanted()) {
        return true;
      }
      result.cancel(false);
      return false;
    }

    private void onExchangeEnded(
        BackendServer server,
        @Nullable HttpResponse response,
        @Nullable Throwable failure,
        long latencyNanoseconds) {
      long nowNanoseconds = time.monotonicNanoseconds();
      ServerHealth serverHealth = health.of(server, nowNanoseconds);
      if (response == null) {
        serverHealth.recordFailure(nowNanoseconds);
        failedServers.add(server.name());
        retryOrRefuse(reason(failure), server);
      } else if (isRefusal(response)) {
        serverHealth.recordRefusal(REFUSAL_COOLDOWN.toNanos(), nowNanoseconds);
        retryOrRefuse(RefusalReason.NO_CAPACITY, server);
      } else {
        if (response.status() >= STATUS_INTERNAL_SERVER_ERROR) {
          serverHealth.recordFailure(nowNanoseconds);
        } else {
          serverHealth.recordSuccess(latencyNanoseconds, nowNanoseconds);
        }
        responses.mark();
        events.record(EventCode.REQUEST_ANSWERED, context.name(), server.name());
        result.complete(messages.toCallerResponse(server, response));
      }
    }

    private void retryOrRefuse(RefusalReason reason, BackendServer server) {
      lastReason = reason;
      if (reason.execution() == Execution.UNKNOWN) {
        execution = Execution.UNKNOWN;
      }
      String method = context.request().method();
      if (RetryPolicy.mayRetry(method, reason.execution(), remainingNanoseconds(), retryBudget)) {
        retries.mark();
        attemptNext();
      } else {
        refuse(reason, "backend server " + server.name());
      }
    }

    /** Refuses the request as not run only if no earlier attempt may have run it. */
    private void refuse(RefusalReason reason, String message) {
      result.complete(refusals.refuse(context.name(), reason, execution, message));
    }

    private long remainingNanoseconds() {
      return context.deadlineNanoseconds() - time.monotonicNanoseconds();
    }

    @Override
    public String organisation() {
      return context.organisation().orElse("");
    }
  }

  private static boolean isRefusal(HttpResponse response) {
    return response.status() == STATUS_SERVICE_UNAVAILABLE
        && response
            .headers()
            .first(SERVER_REFUSED_HEADER)
            .filter(SERVER_REFUSED_NOT_RUN::equalsIgnoreCase)
            .isPresent();
  }

  private static RefusalReason reason(@Nullable Throwable failure) {
    @Nullable Throwable cause = failure == null ? null : WeirException.unwrap(failure);
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
