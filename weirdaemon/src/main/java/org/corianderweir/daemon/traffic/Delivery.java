package org.corianderweir.daemon.traffic;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.steering.CapacityPermit;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.RetryBudget;
import org.corianderweir.logic.delivery.RetryPolicy;
import org.corianderweir.logic.delivery.ServerHealth;
import org.corianderweir.logic.delivery.ServerSelection;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.CellConditions;
import org.corianderweir.logic.steering.SteeringDecision;
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
  private static final int STATUS_FAILED = 500;

  /** A request that has waited is not sent so late that its outcome would likely stay unknown. */
  private static final Duration LAST_ATTEMPT = Duration.ofMillis(40);

  private static final Duration REFUSAL_MEMORY = Duration.ofMillis(5);
  private static final String SERVER_REFUSED_HEADER = "Server-Refused";
  private static final String SERVER_REFUSED_NOT_RUN = "not-run";
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double RETRIES_SAVED_UP = 10;

  private final HttpClient client;
  private final Rooms rooms;
  private final Refusals refusals;
  private final BackendMessages messages;
  private final EventLog events;
  private final TimeSource time;
  private final Meter answers;
  private final Meter retries;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final HealthTable health = new HealthTable();
  private final WaitingRoom room = new WaitingRoom();
  private final RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, RETRIES_SAVED_UP);

  Delivery(
      String instanceName,
      HttpClient client,
      Rooms rooms,
      Refusals refusals,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.client = client;
    this.rooms = rooms;
    this.refusals = refusals;
    this.messages = new BackendMessages(instanceName);
    this.events = events;
    this.time = time;
    this.answers = metrics.meter("answers");
    this.retries = metrics.meter("retries");
  }

  /** Returns the requests of this entry instance that a backend server has. */
  int inFlight(BackendServer server) {
    return inFlight.inFlight(server);
  }

  /** Returns the condition of a backend server as the outcomes of this entry instance show it. */
  CellConditions.ServerCondition condition(BackendServer server) {
    long now = time.monotonicNanoseconds();
    ServerHealth seen = health.of(server, now);
    boolean usable = !seen.ejected(now);
    double utilisation =
        seen.full(now) ? 1 : Math.min(1, (double) inFlight.inFlight(server) / server.slots());
    return new CellConditions.ServerCondition(usable, usable, true, utilisation);
  }

  HealthTable health() {
    return health;
  }

  void stop() {
    room.stop();
  }

  /** Delivers a request; to cancel the future ends the attempt that is underway. */
  CompletableFuture<HttpReply> deliver(RequestContext context) {
    budget.deposit();
    Attempts attempts = new Attempts(context);
    attempts.next();
    return attempts.result;
  }

  /** The attempts of one request, one after another. */
  private final class Attempts implements WaitingRoom.Waiter {
    private final RequestContext context;
    private final String selector;
    private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private final double draw = ThreadLocalRandom.current().nextDouble();
    private final Set<String> failed = new HashSet<>();
    private Execution execution = Execution.NOT_RUN;
    private volatile boolean waited;
    private RefusalReason lastReason = RefusalReason.NO_CAPACITY;

    Attempts(RequestContext context) {
      this.context = context;
      this.selector = context.selector().name();
    }

    private void next() {
      String line = line();
      Optional<Runnable> send = room.isEmpty(line) ? tryNow() : Optional.empty();
      if (send.isPresent()) {
        send.get().run();
        return;
      }
      long remaining = remaining();
      if (remaining <= 0 || nothingLeft()) {
        giveUp();
        return;
      }
      waited = true;
      room.await(line, this, remaining);
      result.whenComplete((answer, failure) -> room.leave(line, this));
    }

    /** Returns the queue to wait in: requests of one queue can use the same servers. */
    private String line() {
      List<BackendServer> servers = servers();
      return servers.isEmpty() ? selector + WaitingRoom.NO_SERVER : line(servers.getFirst());
    }

    private String line(BackendServer server) {
      return selector + '/' + server.availabilityZone();
    }

    @Override
    public Optional<Runnable> tryNow() {
      if (result.isDone() || remaining() <= (waited ? LAST_ATTEMPT.toNanos() : 0)) {
        return Optional.empty();
      }
      return switch (context.snapshot().steer(selector, draw)) {
        case SteeringDecision.Candidates found -> tryCell(found.cell());
        case SteeringDecision.NotNow notNow -> Optional.empty();
      };
    }

    private Optional<Runnable> tryCell(Cell cell) {
      long now = time.monotonicNanoseconds();
      List<ServerSelection.Candidate<BackendServer>> candidates = new ArrayList<>();
      for (BackendServer server : cell.servers()) {
        if (!failed.contains(server.name())) {
          candidates.add(
              new ServerSelection.Candidate<>(
                  server, server.slots(), inFlight.inFlight(server), health.of(server, now)));
        }
      }
      return ServerSelection.choose(candidates, ThreadLocalRandom.current(), now)
          .flatMap(chosen -> reserve(cell, chosen.server(), now));
    }

    @Override
    public void giveUp() {
      refuse(lastReason, "no backend server is free in time");
    }

    private Optional<Runnable> reserve(Cell cell, BackendServer server, long now) {
      Optional<CapacityPermit> permit =
          rooms.tryAcquire(
              cell, selector, context.call().body().length, context.deadlineNanoseconds(), now);
      permit.ifPresent(taken -> inFlight.begin(server));
      return permit.map(taken -> () -> send(server, taken));
    }

    /** Returns the servers that the request may go to at present. */
    private List<BackendServer> servers() {
      return switch (context.snapshot().steer(selector, draw)) {
        case SteeringDecision.Candidates found -> found.cell().servers();
        case SteeringDecision.NotNow notNow -> List.of();
      };
    }

    /** Returns whether each server that the request may go to has failed it already. */
    private boolean nothingLeft() {
      List<BackendServer> servers = servers();
      return !servers.isEmpty()
          && servers.stream().allMatch(server -> failed.contains(server.name()));
    }

    private void send(BackendServer server, CapacityPermit permit) {
      events.record(EventCode.REQUEST_SENT, context.name(), server.name());
      long sent = time.monotonicNanoseconds();
      long remaining = Math.max(1, remaining());
      CompletableFuture<HttpReply> exchange =
          client.exchange(
              new HttpAddress(server.host(), server.port()),
              messages.forwarded(context, remaining),
              Duration.ofNanos(remaining));
      result.whenComplete((answer, failure) -> exchange.cancel(false));
      exchange.whenComplete(
          (answer, failure) -> {
            inFlight.end(server);
            permit.release(answer == null ? 0 : answer.body().length);
            if (!result.isDone()) {
              ended(server, answer, failure, time.monotonicNanoseconds() - sent);
            }
            room.wake(line(server));
          });
    }

    private void ended(
        BackendServer server,
        @Nullable HttpReply answer,
        @Nullable Throwable failure,
        long tookNanoseconds) {
      long now = time.monotonicNanoseconds();
      ServerHealth seen = health.of(server, now);
      if (answer == null) {
        seen.failed(now);
        failed.add(server.name());
        retryOrRefuse(reason(failure), server);
      } else if (isRefusal(answer)) {
        seen.refused(REFUSAL_MEMORY.toNanos(), now);
        retryOrRefuse(RefusalReason.NO_CAPACITY, server);
      } else {
        if (answer.status() >= STATUS_FAILED) {
          seen.failed(now);
        } else {
          seen.answered(tookNanoseconds, now);
        }
        answers.mark();
        events.record(EventCode.REQUEST_ANSWERED, context.name(), server.name());
        result.complete(messages.returned(server, answer));
      }
    }

    private void retryOrRefuse(RefusalReason reason, BackendServer server) {
      lastReason = reason;
      if (reason.execution() == Execution.UNKNOWN) {
        execution = Execution.UNKNOWN;
      }
      String method = context.call().method();
      if (RetryPolicy.mayRetry(method, reason.execution(), remaining(), budget)) {
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

    private long remaining() {
      return context.deadlineNanoseconds() - time.monotonicNanoseconds();
    }

    @Override
    public String organisation() {
      return context.organisation().orElse("");
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
