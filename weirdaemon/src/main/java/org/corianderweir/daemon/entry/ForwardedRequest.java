package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.NextStep;
import org.corianderweir.logic.traffic.RejectionReason;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerCondition;
import org.corianderweir.logic.traffic.ServerState;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.jspecify.annotations.Nullable;

/** Forwards an admitted request, with one send at a time, until it has its final answer. */
final class ForwardedRequest {
  /**
   * Idle time after which a connection is not used for a request that is not idempotent, because
   * the server may have closed the connection.
   */
  private static final Duration NON_IDEMPOTENT_IDLE_LIMIT = Duration.ofMillis(700);

  private final HttpRequest callerRequest;
  private final CallerConnection caller;
  private final AdmittedRequest request;
  private final TrafficDirector director;
  private final HttpClient client;
  private final ServerMessageTranslator messages;
  private final UnaryOperator<HttpResponse> responseFinisher;
  private final WaitingRequests waiting;
  private final RequestLog log;
  private final TimeSource time;
  private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
  private @Nullable CompletableFuture<HttpResponse> exchange;
  private boolean abandoned;
  private boolean ended;

  /**
   * One send of the request. Its connection may be established after the send was given up, when
   * another one is in progress already. Guarded by the request.
   */
  private static final class Attempt {
    private final ServerState server;
    private boolean withheld;
    private boolean written;

    Attempt(ServerState server) {
      this.server = server;
    }
  }

  ForwardedRequest(
      HttpRequest callerRequest,
      CallerConnection caller,
      AdmittedRequest request,
      TrafficDirector director,
      HttpClient client,
      ServerMessageTranslator messages,
      UnaryOperator<HttpResponse> responseFinisher,
      WaitingRequests waiting,
      RequestLog log,
      TimeSource time) {
    this.callerRequest = callerRequest;
    this.caller = caller;
    this.request = request;
    this.director = director;
    this.client = client;
    this.messages = messages;
    this.responseFinisher = responseFinisher;
    this.waiting = waiting;
    this.log = log;
    this.time = time;
  }

  /** Returns the final answer; it is cancelled if the caller closes its connection. */
  CompletableFuture<HttpResponse> answer() {
    return answer;
  }

  /** Starts forwarding. */
  void start() {
    answer.whenComplete(
        (response, failure) -> {
          if (answer.isCancelled()) {
            abandon();
          }
        });
    proceed();
  }

  /**
   * Gives the request its final answer, because this instance ends. It is sent to no server from
   * now on; a server that works on it may have run it.
   */
  void end() {
    CompletableFuture<HttpResponse> pending;
    synchronized (this) {
      ended = true;
      pending = exchange;
    }
    if (waiting.remove(request)) {
      perform(
          request.mayHaveRun()
              ? new NextStep.Fail(true)
              : new NextStep.Reject(RejectionReason.STOPPING, Duration.ZERO),
          null);
    } else if (pending != null) {
      pending.cancel(false);
    }
  }

  /** Asks for the next step of a request that is not being sent, and performs it. */
  private void proceed() {
    try {
      perform(director.nextStep(request, time.monotonicNanoseconds()), null);
    } catch (RuntimeException failure) {
      failUnexpectedly(failure);
    }
  }

  private void hold(NextStep.Wait wait) {
    long now = time.monotonicNanoseconds();
    Duration longest = Duration.ofNanos(Math.max(0, wait.untilNanoseconds() - now));
    if (!waiting.offer(request, longest, this::proceed)) {
      request.endWait();
      proceed();
      return;
    }
    log.held(request, wait.untilNanoseconds(), now);
    if (answer.isCancelled()) {
      abandonWait();
    }
  }

  /** Drops the request if it waits. Its caller may leave just before or after it begins to wait. */
  private void abandonWait() {
    if (waiting.remove(request)) {
      log.abandoned(request, time.monotonicNanoseconds());
    }
  }

  /** Answers a request whose handling failed, so that it is not held until its deadline. */
  private void failUnexpectedly(RuntimeException failure) {
    log.failedUnexpectedly(request, failure);
    finish(CallerResponses.failure(new NextStep.Fail(false)));
  }

  /**
   * Returns whether to write the request to a server. If its caller has left, abandons it; if the
   * server accepts no more requests, another one is chosen.
   */
  private boolean beginWrite(Attempt attempt) {
    if (!caller.isOpen()) {
      answer.cancel(false);
    }
    boolean accepted = director.accepts(attempt.server, time.monotonicNanoseconds());
    synchronized (this) {
      attempt.withheld = !accepted;
      attempt.written = accepted && !abandoned && !ended;
      return attempt.written;
    }
  }

  private void abandon() {
    synchronized (this) {
      abandoned = true;
      if (exchange != null) {
        exchange.cancel(false);
      }
    }
    abandonWait();
  }

  private void perform(NextStep step, @Nullable HttpResponse lastResponse) {
    switch (step) {
      case NextStep.Send send -> send(send);
      case NextStep.Wait wait -> hold(wait);
      case NextStep.Reject rejection -> {
        log.rejectedWhileForwarding(request, rejection, time.monotonicNanoseconds());
        finish(CallerResponses.rejection(rejection.reason(), rejection.retryAfter()));
      }
      case NextStep.Fail failure -> finish(CallerResponses.failure(failure));
      case NextStep.Deliver unused ->
          finish(
              lastResponse == null
                  ? CallerResponses.failure(new NextStep.Fail(false))
                  : messages.forCaller(lastResponse));
    }
  }

  private void finish(HttpResponse response) {
    log.answered(request, response.status(), time.monotonicNanoseconds());
    answer.complete(responseFinisher.apply(response));
  }

  private void send(NextStep.Send send) {
    ServerState server = send.server();
    long sentNanoseconds = time.monotonicNanoseconds();
    log.chosen(server, sentNanoseconds);
    HttpAddress address =
        new HttpAddress(server.registration().host(), server.registration().port());
    HttpRequest forwarded =
        messages.forServer(callerRequest, request, server.registration(), send.timeout());
    Attempt attempt = new Attempt(server);
    // An idempotent request is sent again if the server has closed its connection meanwhile.
    CompletableFuture<HttpResponse> pending =
        request.route().idempotent()
            ? client.exchange(address, forwarded, send.timeout(), () -> beginWrite(attempt))
            : client.exchange(
                address,
                forwarded,
                send.timeout(),
                NON_IDEMPOTENT_IDLE_LIMIT,
                () -> beginWrite(attempt));
    synchronized (this) {
      exchange = pending;
      if (abandoned || ended) {
        pending.cancel(false);
      }
    }
    pending.whenComplete(
        (response, failure) -> {
          try {
            sendEnded(attempt, sentNanoseconds, response, failure);
          } catch (RuntimeException unexpected) {
            failUnexpectedly(unexpected);
          }
        });
  }

  private void sendEnded(
      Attempt attempt,
      long sentNanoseconds,
      @Nullable HttpResponse response,
      @Nullable Throwable failure) {
    ServerState server = attempt.server;
    SendOutcome outcome =
        response != null
            ? messages.outcome(response, request.attributes().identifier())
            : outcome(attempt, failure);
    long now = time.monotonicNanoseconds();
    log.sendEnded(request, server, outcome, sentNanoseconds, now);
    ServerCondition before = director.condition(server, now);
    NextStep next = director.sendEnded(request, server, outcome, sentNanoseconds, now);
    log.serverAnswered(request, server, before, director.condition(server, now), now);
    if (outcome instanceof SendOutcome.Abandoned) {
      log.abandoned(request, now);
    } else {
      perform(next, response);
    }
    waiting.resumeMostUrgent(request.service());
  }

  private synchronized SendOutcome outcome(Attempt attempt, @Nullable Throwable failure) {
    if (abandoned) {
      return new SendOutcome.Abandoned(attempt.written);
    }
    if (attempt.withheld || (ended && !attempt.written)) {
      return new SendOutcome.Withheld();
    }
    if (failure instanceof CancellationException) {
      return new SendOutcome.TimedOut();
    }
    if (failure instanceof WeirException weirException) {
      if (weirException.code() == ErrorCode.CONNECT_FAILED) {
        return new SendOutcome.Unreachable();
      }
      if (weirException.code() == ErrorCode.DEADLINE_EXCEEDED) {
        return new SendOutcome.TimedOut();
      }
    }
    return new SendOutcome.Lost(
        failure == null ? "no answer" : String.valueOf(failure.getMessage()));
  }
}
