package org.corianderweir.bench.backend;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;

/**
 * A stand-in for a backend server. It runs as many requests at the same time as it has slots, shows
 * faults that can be switched on over HTTP, and keeps a journal of the requests that reached it.
 */
public final class BackendStandIn {
  /** The path that returns whether the server is ready, and its load. */
  public static final String STATUS_PATH = "/.server/status";

  /**
   * The path that returns the journal. The query parameter {@code from} is the position of the
   * first entry to return.
   */
  public static final String JOURNAL_PATH = "/.server/journal";

  /** The path to which {@link ServerSwitches} are sent. */
  public static final String SWITCHES_PATH = "/.server/switches";

  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int OVERSIZED_RESPONSE_BYTES = 9 * 1024 * 1024;
  private static final int WORKER_THREADS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_INTERNAL_ERROR = 500;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Duration LATE_RESPONSE_DELAY = Duration.ofSeconds(12);
  private static final Duration FROZEN_RESPONSE_DELAY = Duration.ofHours(1);

  private final ServerSpecification specification;
  private final HttpListener listener;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final ServerJournal journal;
  private final LoadHistory loadHistory = new LoadHistory();
  private final long startNanoseconds = System.nanoTime();
  private volatile ServerSwitches switches = ServerSwitches.NORMAL;

  /**
   * The requests that reached the server.
   *
   * @param entries requests in order of arrival
   */
  public record Journal(List<JournalEntry> entries) {}

  private record ServerStatus(boolean ready, boolean draining, int inFlight, int slots) {}

  /**
   * The body of a response.
   *
   * @param server name of the server
   * @param request identifier of the answered request
   * @param organisation organisation of the caller; empty on an open route
   */
  public record Answer(String server, String request, String organisation) {}

  /**
   * Creates a server that does not listen yet.
   *
   * @param journalFile file to which the journal is also written
   */
  public BackendStandIn(ServerSpecification specification, JournalFile journalFile) {
    this.specification = specification;
    journal = new ServerJournal(journalFile);
    listener =
        new HttpListener(
            new HttpListenerOptions(
                specification.name(),
                specification.host(),
                specification.port(),
                BODY_LIMIT_BYTES,
                WORKER_THREADS),
            this::handle);
  }

  /** Starts listening. */
  public void start() {
    listener.start();
  }

  /** Stops listening. */
  public void stop() {
    listener.stop(0);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the requests that reached the server, in order of arrival. */
  public List<JournalEntry> journal() {
    return journal.entriesFrom(0);
  }

  /** Replaces the switches that set how the server behaves. */
  public void setSwitches(ServerSwitches newSwitches) {
    switches = newSwitches;
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    return switch (request.path()) {
      case STATUS_PATH -> completed(jsonResponse(status()));
      case JOURNAL_PATH ->
          completed(jsonResponse(new Journal(journal.entriesFrom(journalStart(request)))));
      case SWITCHES_PATH -> completed(changeSwitches(request));
      default -> run(request, switches);
    };
  }

  private ServerStatus status() {
    ServerSwitches current = switches;
    if (current.reportsIdle()) {
      return new ServerStatus(true, false, 0, specification.slots());
    }
    long lagNanoseconds = TimeUnit.MILLISECONDS.toNanos(current.reportLagMilliseconds());
    int reported = loadHistory.inFlightAt(System.nanoTime() - lagNanoseconds);
    return new ServerStatus(true, current.draining(), reported, specification.slots());
  }

  private static int journalStart(HttpRequest request) {
    return Integer.parseInt(request.parameter("from", "0"));
  }

  private HttpResponse changeSwitches(HttpRequest request) {
    try {
      setSwitches(Json.read(request.bodyText(), ServerSwitches.class));
      return jsonResponse(switches);
    } catch (WeirException invalid) {
      return HttpResponse.json(STATUS_BAD_REQUEST, "{}");
    }
  }

  private CompletableFuture<HttpResponse> run(HttpRequest request, ServerSwitches current) {
    if (current.fault() == ServerSwitches.Fault.FAILS_FAST) {
      journal.add(createEntry(request, JournalEntry.Outcome.SHED));
      return completed(HttpResponse.json(STATUS_INTERNAL_ERROR, "{}"));
    }
    boolean sheds = current.fault() == ServerSwitches.Fault.SHEDS_ALL;
    if (sheds || inFlight.incrementAndGet() > specification.slots()) {
      if (!sheds) {
        inFlight.decrementAndGet();
      }
      journal.add(createEntry(request, JournalEntry.Outcome.SHED));
      return completed(
          HttpResponse.json(STATUS_UNAVAILABLE, "{}").withHeader("Server-Refused", "not-run"));
    }
    loadHistory.record(System.nanoTime(), inFlight.get());
    JournalEntry running = createEntry(request, JournalEntry.Outcome.RUNNING);
    int position = journal.add(running);
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    response.whenComplete((answer, failure) -> recordEnd(position, failure != null));
    CompletableFuture.delayedExecutor(responseDelay(current).toNanos(), TimeUnit.NANOSECONDS)
        .execute(() -> response.complete(createResponse(running, current)));
    return response;
  }

  private void recordEnd(int position, boolean abandoned) {
    long now = System.nanoTime();
    loadHistory.record(now, inFlight.decrementAndGet());
    JournalEntry.Outcome outcome =
        abandoned ? JournalEntry.Outcome.ABANDONED : JournalEntry.Outcome.ANSWERED;
    journal.recordEnd(position, outcome, now);
  }

  private JournalEntry createEntry(HttpRequest request, JournalEntry.Outcome outcome) {
    return new JournalEntry(
        specification.name(),
        request.headers().first("Weir-Request").orElse(""),
        request.headers().first("Weir-Organisation").orElse(""),
        request.method(),
        request.target(),
        request.headers().first("Weir-Key").isPresent(),
        outcome,
        System.nanoTime(),
        0);
  }

  private Duration responseDelay(ServerSwitches current) {
    return switch (current.fault()) {
      case FROZEN -> FROZEN_RESPONSE_DELAY;
      case LATE -> LATE_RESPONSE_DELAY;
      default ->
          Duration.ofNanos(
              (long) (specification.serviceTime().toNanos() * slowdownFactor(current)));
    };
  }

  private double slowdownFactor(ServerSwitches current) {
    boolean cold = System.nanoTime() - startNanoseconds < specification.coldDuration().toNanos();
    return current.slowFactor() * (cold ? specification.coldSlowdownFactor() : 1);
  }

  private static HttpResponse createResponse(JournalEntry entry, ServerSwitches current) {
    if (current.fault() == ServerSwitches.Fault.OVERSIZED) {
      return new HttpResponse(STATUS_OK, HttpHeaders.NONE, new byte[OVERSIZED_RESPONSE_BYTES]);
    }
    return jsonResponse(new Answer(entry.server(), entry.request(), entry.organisation()));
  }

  private static HttpResponse jsonResponse(Object value) {
    return HttpResponse.json(STATUS_OK, Json.write(value));
  }

  private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
