package org.corianderweir.bench.backend;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;
import org.corianderweir.protocol.Json;

/** A backend server with a few slots that keeps a journal of what it ran. */
public final class BackendStandIn {
  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int WORKER_THREADS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final String name;
  private final int slots;
  private final Duration serviceTime;
  private final HttpListener listener;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final List<JournalEntry> journal = new CopyOnWriteArrayList<>();

  /**
   * A request that ran.
   *
   * @param server name of the server
   * @param request identifier of the request
   * @param organisation organisation that it ran for; empty on an open route
   * @param method method
   * @param target path and query
   * @param keySeen whether a caller's key reached the server
   */
  public record JournalEntry(
      String server,
      String request,
      String organisation,
      String method,
      String target,
      boolean keySeen) {}

  /**
   * What ran, in order.
   *
   * @param entries the requests
   */
  public record Journal(List<JournalEntry> entries) {}

  private record ServerStatus(boolean ready, boolean draining, int inFlight, int slots) {}

  private record Answer(String server, String request, String organisation) {}

  /** Creates a server that does not listen yet. */
  public BackendStandIn(String name, String host, int port, int slots, Duration serviceTime) {
    this.name = name;
    this.slots = slots;
    this.serviceTime = serviceTime;
    listener =
        new HttpListener(
            new HttpListenerOptions(name, host, port, BODY_LIMIT_BYTES, WORKER_THREADS),
            this::handle);
  }

  /** Starts to listen. */
  public void start() {
    listener.start();
  }

  /** Stops to listen. */
  public void stop() {
    listener.stop(0);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns what ran, in order. */
  public List<JournalEntry> journal() {
    return List.copyOf(journal);
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    return switch (call.path()) {
      case "/.server/status" -> done(json(new ServerStatus(true, false, inFlight.get(), slots)));
      case "/.server/journal" -> done(json(new Journal(journal())));
      default -> run(call);
    };
  }

  private CompletableFuture<HttpReply> run(HttpCall call) {
    if (inFlight.incrementAndGet() > slots) {
      inFlight.decrementAndGet();
      return done(HttpReply.json(STATUS_UNAVAILABLE, "{}").with("Server-Refused", "not-run"));
    }
    String request = call.headers().first("Weir-Request").orElse("");
    String organisation = call.headers().first("Weir-Organisation").orElse("");
    boolean keySeen = call.headers().first("Weir-Key").isPresent();
    journal.add(
        new JournalEntry(name, request, organisation, call.method(), call.target(), keySeen));
    return CompletableFuture.supplyAsync(
        () -> {
          inFlight.decrementAndGet();
          return json(new Answer(name, request, organisation));
        },
        CompletableFuture.delayedExecutor(serviceTime.toNanos(), TimeUnit.NANOSECONDS));
  }

  private static HttpReply json(Object value) {
    return HttpReply.json(STATUS_OK, Json.write(value));
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
