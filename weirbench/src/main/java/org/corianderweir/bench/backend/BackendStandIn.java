package org.corianderweir.bench.backend;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;

/** A backend server with a few slots, switches for its faults, and a journal of what it ran. */
public final class BackendStandIn {
  /** The path of the server's readiness and load. */
  public static final String STATUS_PATH = "/.server/status";

  /** The path of the journal; the parameter {@code from} skips entries. */
  public static final String JOURNAL_PATH = "/.server/journal";

  /** The path that the switches are put to. */
  public static final String SWITCHES_PATH = "/.server/switches";

  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int OVERSIZED_ANSWER_BYTES = 9 * 1024 * 1024;
  private static final int WORKER_THREADS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_FAILED = 500;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Duration LATE_TIME = Duration.ofSeconds(12);
  private static final Duration FROZEN_TIME = Duration.ofHours(1);

  private final ServerPlan plan;
  private final HttpListener listener;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final ServerJournal journal;
  private final LoadHistory load = new LoadHistory();
  private final long startNanoseconds = System.nanoTime();
  private volatile ServerSwitches switches = ServerSwitches.NORMAL;

  /**
   * What reached the server, in order.
   *
   * @param entries the requests
   */
  public record Journal(List<JournalEntry> entries) {}

  private record ServerStatus(boolean ready, boolean draining, int inFlight, int slots) {}

  /**
   * The body of an answer.
   *
   * @param server name of the server
   * @param request identifier of the request that it answers
   * @param organisation organisation that the request ran for; empty on an open route
   */
  public record Answer(String server, String request, String organisation) {}

  /**
   * Creates a server that does not listen yet.
   *
   * @param file where the journal is written as well
   */
  public BackendStandIn(ServerPlan plan, JournalFile file) {
    this.plan = plan;
    journal = new ServerJournal(file);
    listener =
        new HttpListener(
            new HttpListenerOptions(
                plan.name(), plan.host(), plan.port(), BODY_LIMIT_BYTES, WORKER_THREADS),
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

  /** Returns what reached the server, in order. */
  public List<JournalEntry> journal() {
    return journal.entriesFrom(0);
  }

  /** Changes how the server behaves. */
  public void setSwitches(ServerSwitches changed) {
    switches = changed;
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    return switch (call.path()) {
      case STATUS_PATH -> done(json(status()));
      case JOURNAL_PATH -> done(json(new Journal(journal.entriesFrom(journalStart(call)))));
      case SWITCHES_PATH -> done(changeSwitches(call));
      default -> run(call, switches);
    };
  }

  private ServerStatus status() {
    ServerSwitches current = switches;
    if (current.reportsIdle()) {
      return new ServerStatus(true, false, 0, plan.slots());
    }
    long lag = TimeUnit.MILLISECONDS.toNanos(current.reportLagMilliseconds());
    int reported = load.at(System.nanoTime() - lag);
    return new ServerStatus(true, current.draining(), reported, plan.slots());
  }

  private static int journalStart(HttpCall call) {
    return Integer.parseInt(call.parameter("from", "0"));
  }

  private HttpReply changeSwitches(HttpCall call) {
    try {
      setSwitches(Json.read(call.bodyText(), ServerSwitches.class));
      return json(switches);
    } catch (WeirException invalid) {
      return HttpReply.json(STATUS_BAD_REQUEST, "{}");
    }
  }

  private CompletableFuture<HttpReply> run(HttpCall call, ServerSwitches current) {
    if (current.fault() == ServerSwitches.Fault.FAILS_FAST) {
      journal.add(entry(call, JournalEntry.Outcome.SHED));
      return done(HttpReply.json(STATUS_FAILED, "{}"));
    }
    boolean sheds = current.fault() == ServerSwitches.Fault.SHEDS_ALL;
    if (sheds || inFlight.incrementAndGet() > plan.slots()) {
      if (!sheds) {
        inFlight.decrementAndGet();
      }
      journal.add(entry(call, JournalEntry.Outcome.SHED));
      return done(HttpReply.json(STATUS_UNAVAILABLE, "{}").with("Server-Refused", "not-run"));
    }
    load.record(System.nanoTime(), inFlight.get());
    JournalEntry running = entry(call, JournalEntry.Outcome.RUNNING);
    int position = journal.add(running);
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    reply.whenComplete((answer, failure) -> end(position, failure != null));
    CompletableFuture.delayedExecutor(delay(current).toNanos(), TimeUnit.NANOSECONDS)
        .execute(() -> reply.complete(answer(running, current)));
    return reply;
  }

  private void end(int position, boolean abandoned) {
    long now = System.nanoTime();
    load.record(now, inFlight.decrementAndGet());
    JournalEntry.Outcome outcome =
        abandoned ? JournalEntry.Outcome.ABANDONED : JournalEntry.Outcome.ANSWERED;
    journal.end(position, outcome, now);
  }

  private JournalEntry entry(HttpCall call, JournalEntry.Outcome outcome) {
    return new JournalEntry(
        plan.name(),
        call.headers().first("Weir-Request").orElse(""),
        call.headers().first("Weir-Organisation").orElse(""),
        call.method(),
        call.target(),
        call.headers().first("Weir-Key").isPresent(),
        outcome,
        System.nanoTime(),
        0);
  }

  private Duration delay(ServerSwitches current) {
    return switch (current.fault()) {
      case FROZEN -> FROZEN_TIME;
      case LATE -> LATE_TIME;
      default -> Duration.ofNanos((long) (plan.serviceTime().toNanos() * factor(current)));
    };
  }

  private double factor(ServerSwitches current) {
    boolean cold = System.nanoTime() - startNanoseconds < plan.coldTime().toNanos();
    return current.slowFactor() * (cold ? plan.coldFactor() : 1);
  }

  private static HttpReply answer(JournalEntry entry, ServerSwitches current) {
    if (current.fault() == ServerSwitches.Fault.OVERSIZED) {
      return new HttpReply(STATUS_OK, HttpHeaders.NONE, new byte[OVERSIZED_ANSWER_BYTES]);
    }
    return json(new Answer(entry.server(), entry.request(), entry.organisation()));
  }

  private static HttpReply json(Object value) {
    return HttpReply.json(STATUS_OK, Json.write(value));
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
