package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.NextStep;
import org.corianderweir.logic.traffic.RequestPlan;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerState;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.jspecify.annotations.Nullable;

/** A request on its way: one send at a time until it has its final answer. */
final class ForwardedRequest {
  /** A connection that was idle for longer may have been closed by the server meanwhile. */
  private static final Duration IDLE_LIMIT_ONCE = Duration.ofMillis(700);

  private static final Duration IDLE_LIMIT = Duration.ofMillis(3_000);

  private final HttpCall call;
  private final RequestPlan plan;
  private final TrafficDirector director;
  private final HttpClient client;
  private final ServerMessages messages;
  private final UnaryOperator<HttpReply> lastTouch;
  private final RequestLog log;
  private final TimeSource time;
  private final CompletableFuture<HttpReply> answer = new CompletableFuture<>();
  private @Nullable CompletableFuture<HttpReply> exchange;
  private boolean abandoned;

  ForwardedRequest(
      HttpCall call,
      RequestPlan plan,
      TrafficDirector director,
      HttpClient client,
      ServerMessages messages,
      UnaryOperator<HttpReply> lastTouch,
      RequestLog log,
      TimeSource time) {
    this.call = call;
    this.plan = plan;
    this.director = director;
    this.client = client;
    this.messages = messages;
    this.lastTouch = lastTouch;
    this.log = log;
    this.time = time;
  }

  /** Begins; the answer is cancelled when the caller leaves. */
  CompletableFuture<HttpReply> start() {
    answer.whenComplete(
        (reply, failure) -> {
          if (answer.isCancelled()) {
            abandon();
          }
        });
    step(director.next(plan, time.monotonicNanoseconds()), null);
    return answer;
  }

  private synchronized void abandon() {
    abandoned = true;
    if (exchange != null) {
      exchange.cancel(false);
    }
  }

  private void step(NextStep step, @Nullable HttpReply last) {
    switch (step) {
      case NextStep.Send send -> send(send);
      case NextStep.Refuse refusal ->
          finish(CallerReplies.refusal(refusal.reason(), refusal.comeBackAfter()));
      case NextStep.Fail failure -> finish(CallerReplies.failure(failure));
      case NextStep.Deliver unused ->
          finish(
              last == null
                  ? CallerReplies.failure(new NextStep.Fail(false))
                  : messages.forCaller(last));
    }
  }

  private void finish(HttpReply reply) {
    log.ended(plan, reply.status(), time.monotonicNanoseconds());
    answer.complete(lastTouch.apply(reply));
  }

  private void send(NextStep.Send send) {
    ServerState server = send.server();
    long sent = time.monotonicNanoseconds();
    HttpAddress address = new HttpAddress(server.entry().host(), server.entry().port());
    HttpCall forwarded = messages.forServer(call, plan, server.entry(), send.timeout());
    Duration idleLimit = plan.route().idempotent() ? IDLE_LIMIT : IDLE_LIMIT_ONCE;
    CompletableFuture<HttpReply> pending;
    synchronized (this) {
      if (abandoned) {
        pending = CompletableFuture.failedFuture(new CancellationException());
      } else {
        pending = client.exchange(address, forwarded, send.timeout(), idleLimit);
        exchange = pending;
      }
    }
    pending.whenComplete((reply, failure) -> ended(server, sent, reply, failure));
  }

  private void ended(
      ServerState server, long sent, @Nullable HttpReply reply, @Nullable Throwable failure) {
    SendOutcome outcome = reply != null ? messages.outcome(reply) : outcome(failure);
    long now = time.monotonicNanoseconds();
    log.sendEnded(plan, server, outcome, sent, now);
    NextStep next = director.ended(plan, server, outcome, sent, now);
    if (outcome instanceof SendOutcome.Abandoned) {
      log.abandoned(plan, now);
      return;
    }
    step(next, reply);
  }

  private synchronized SendOutcome outcome(@Nullable Throwable failure) {
    if (abandoned) {
      return new SendOutcome.Abandoned();
    }
    if (failure instanceof WeirException known) {
      if (known.code() == ErrorCode.CONNECT_FAILED) {
        return new SendOutcome.Unreachable();
      }
      if (known.code() == ErrorCode.DEADLINE_EXCEEDED) {
        return new SendOutcome.TimedOut();
      }
    }
    return new SendOutcome.Lost();
  }
}
