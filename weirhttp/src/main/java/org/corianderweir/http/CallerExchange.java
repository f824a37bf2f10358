package org.corianderweir.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its response. The connection's {@link CallerPipeline} guards the
 * state.
 */
final class CallerExchange implements CallerConnection {
  private final CallerPipeline pipeline;
  private final RequestHead head;
  private final Optional<HttpRequest> request;
  private final boolean mayRunBeside;
  private final MemoryLease lease;
  private final long arrivedNanoseconds;
  private volatile long begunNanoseconds;
  private State state;
  private @Nullable HttpResponse response;
  private @Nullable CompletableFuture<HttpResponse> future;

  private enum State {
    WAITING,
    STARTED,
    BEGUN,
    ANSWERED
  }

  private CallerExchange(
      CallerPipeline pipeline,
      RequestHead head,
      Optional<HttpRequest> request,
      boolean mayRunBeside,
      MemoryLease lease,
      long arrivedNanoseconds) {
    this.pipeline = pipeline;
    this.head = head;
    this.request = request;
    this.mayRunBeside = mayRunBeside;
    this.lease = lease;
    this.arrivedNanoseconds = arrivedNanoseconds;
    begunNanoseconds = arrivedNanoseconds;
    state = State.WAITING;
  }

  /** Returns the exchange of a request that was read completely. */
  static CallerExchange of(
      CallerPipeline pipeline,
      RequestHead head,
      HttpRequest request,
      boolean mayRunBeside,
      MemoryLease lease,
      long arrivedNanoseconds) {
    return new CallerExchange(
        pipeline, head, Optional.of(request), mayRunBeside, lease, arrivedNanoseconds);
  }

  /** Returns the exchange of a request that the listener refuses; it has its response. */
  static CallerExchange refused(
      CallerPipeline pipeline, RequestHead head, HttpResponse refusal, long arrivedNanoseconds) {
    CallerExchange exchange =
        new CallerExchange(
            pipeline, head, Optional.empty(), true, new MemoryLease(), arrivedNanoseconds);
    exchange.answer(refusal.withConnectionClose());
    return exchange;
  }

  @Override
  public Duration queueTime() {
    return Duration.ofNanos(begunNanoseconds - arrivedNanoseconds);
  }

  @Override
  public boolean isOpen() {
    return pipeline.isCallerConnected();
  }

  RequestHead head() {
    return head;
  }

  Optional<HttpRequest> request() {
    return request;
  }

  MemoryLease lease() {
    return lease;
  }

  boolean mayRunBeside() {
    return mayRunBeside;
  }

  boolean isWaiting() {
    return state == State.WAITING;
  }

  void start() {
    state = State.STARTED;
  }

  /** Records that a thread begins to handle the request. */
  void begin(long nowNanoseconds) {
    begunNanoseconds = nowNanoseconds;
    state = State.BEGUN;
  }

  /** Returns whether a thread has begun to handle the request. */
  boolean hasBegun() {
    return state == State.BEGUN;
  }

  void setFuture(CompletableFuture<HttpResponse> handling) {
    future = handling;
  }

  Optional<CompletableFuture<HttpResponse>> future() {
    return Optional.ofNullable(future);
  }

  void answer(HttpResponse answer) {
    response = answer;
    state = State.ANSWERED;
  }

  /** Returns the response, if the request is answered. */
  Optional<HttpResponse> response() {
    return Optional.ofNullable(response);
  }
}
