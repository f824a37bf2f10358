package org.corianderweir.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Holds the requests of a listener until a test answers them. Requests for targets that begin with
 * {@code /safe} may run beside others.
 */
final class HeldRequests implements CallerRequestHandler {
  private static final long LONGEST_WAIT_SECONDS = 5;

  private final List<String> started = new CopyOnWriteArrayList<>();
  private final Map<String, CompletableFuture<HttpResponse>> answers = new ConcurrentHashMap<>();
  private final Map<String, HttpRequest> requests = new ConcurrentHashMap<>();
  private final Map<String, CallerConnection> callers = new ConcurrentHashMap<>();

  @Override
  public CompletableFuture<HttpResponse> handle(HttpRequest request, CallerConnection caller) {
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    synchronized (this) {
      answers.put(request.target(), answer);
      requests.put(request.target(), request);
      callers.put(request.target(), caller);
      started.add(request.target());
      notifyAll();
    }
    return answer;
  }

  @Override
  public boolean mayRunBeside(HttpRequest head) {
    return head.target().startsWith("/safe");
  }

  /** Returns the targets of the requests in the order of their start. */
  List<String> started() {
    return new ArrayList<>(started);
  }

  /** Returns the targets that were started and not answered yet. */
  synchronized List<String> inProgress() {
    return started.stream().filter(target -> !answers.get(target).isDone()).toList();
  }

  CompletableFuture<HttpResponse> answer(String target) {
    return answers.get(target);
  }

  HttpRequest request(String target) {
    return requests.get(target);
  }

  CallerConnection caller(String target) {
    return callers.get(target);
  }

  /** Waits until a number of requests were started. */
  void awaitStarted(int count) throws InterruptedException {
    awaitThat(() -> started.size() >= count);
  }

  private synchronized void awaitThat(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (left <= 0) {
        throw new AssertionError("started only " + started);
      }
      wait(left);
    }
  }

  /** Answers a request with its own target as body, when it was started. */
  void respond(String target) throws InterruptedException {
    awaitThat(() -> answers.containsKey(target));
    answers.get(target).complete(HttpResponse.json(200, target));
  }
}
