package org.corianderweir.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.traffic.HeaderNames;
import org.corianderweir.platform.PlatformHeaders;

/**
 * A backend server that records what it ran and can behave badly. The speed of its machine changes
 * several times a second. Thread-safe.
 */
final class SoakServer {
  private static final HeaderNames NAMES = PlatformHeaders.NAMES;
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Duration USUAL_WORK = Duration.ofMillis(20);
  private static final Duration PAUSE = Duration.ofMillis(1_500);
  private static final Duration SLOW_WORK = Duration.ofMillis(800);
  private static final Duration SPEED_PERIOD = Duration.ofMillis(250);
  private static final int USUAL_SPEED = 100;
  private static final int LOW_SPEED = 250;

  /** One of this number of servers works slowly at any moment. */
  private static final int SERVERS_PER_SLOW_ONE = 7;

  private final String identifier;
  private final SoakEvidence evidence;
  private final long seed;
  private final HttpListener listener;
  private volatile Behaviour behaviour = Behaviour.SOUND;

  /** What the server does with requests. */
  enum Behaviour {
    /** It runs them soon. */
    SOUND,
    /** It refuses them without running them. */
    FULL,
    /** It runs them and never answers. */
    SILENT,
    /** It runs them for a long time. */
    SLOW,
    /** It runs them and says in its answers that it leaves. */
    LEAVING,
    /** It refuses them without running them and asks for a pause. */
    PAUSING
  }

  /**
   * Creates a server without starting it.
   *
   * @param seed seed of the changes of its speed
   */
  SoakServer(String identifier, String host, SoakEvidence evidence, long seed) {
    this.identifier = identifier;
    this.evidence = evidence;
    this.seed = RandomSource.SPLIT_MIX_64.create(seed).nextLong();
    listener =
        new HttpListener(
            new HttpListenerOptions(identifier, host, 0, BODY_LIMIT_BYTES, 1), this::handle);
  }

  String identifier() {
    return identifier;
  }

  void start() {
    listener.start();
  }

  void stop() {
    listener.stop(0);
  }

  int port() {
    return listener.port();
  }

  void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    String name = request.headers().first(NAMES.requestIdentifier()).orElse("");
    HttpHeaders headers = HttpHeaders.NONE.with(NAMES.requestIdentifier(), name);
    if (!request.headers().first(NAMES.expectedServer()).orElse("").equals(identifier)) {
      return CompletableFuture.completedFuture(
          new HttpResponse(STATUS_MISDIRECTED, headers, new byte[0]));
    }
    Behaviour present = behaviour;
    evidence.record(new SoakEvidence.Arrival(name, identifier, System.nanoTime()));
    if (present == Behaviour.PAUSING) {
      evidence.record(SoakEvidence.Notice.pause(name, identifier, PAUSE, System.nanoTime()));
      HttpHeaders refusal = headers.with(NAMES.notRun(), "1").with("Retry-After", "1.5");
      return CompletableFuture.completedFuture(
          new HttpResponse(STATUS_UNAVAILABLE, refusal, new byte[0]));
    }
    if (present == Behaviour.FULL) {
      HttpHeaders refusal =
          headers.with(NAMES.notRun(), "1").with(NAMES.serverLoad(), load("9,9,9"));
      return CompletableFuture.completedFuture(
          new HttpResponse(STATUS_UNAVAILABLE, refusal, new byte[0]));
    }
    evidence.recordRun(name, identifier, System.nanoTime());
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    if (present == Behaviour.LEAVING) {
      evidence.record(SoakEvidence.Notice.leaving(name, identifier, System.nanoTime()));
    }
    if (present != Behaviour.SILENT) {
      HttpHeaders signed =
          headers.with(NAMES.serverStamp(), identifier).with(NAMES.serverLoad(), load("1,0,9"));
      HttpResponse response =
          new HttpResponse(
              STATUS_OK,
              present == Behaviour.LEAVING ? signed.with(NAMES.serverLeaving(), "1") : signed,
              answer(request, name));
      Duration work = present == Behaviour.SLOW ? SLOW_WORK : usualWork();
      answer.completeOnTimeout(response, work.toMillis(), TimeUnit.MILLISECONDS);
    }
    return answer;
  }

  /** Returns the body of the answer; if the body of the request is not its own, another one. */
  private static byte[] answer(HttpRequest request, String name) {
    SoakRequest received = SoakRequest.received(name, request.path());
    return Arrays.equals(request.body(), received.body())
        ? received.answer()
        : ("not the body of " + name).getBytes(StandardCharsets.UTF_8);
  }

  private Duration usualWork() {
    return USUAL_WORK.multipliedBy(speed(System.nanoTime())).dividedBy(USUAL_SPEED);
  }

  private String load(String counts) {
    return counts + "," + speed(System.nanoTime());
  }

  private int speed(long nowNanoseconds) {
    long period = nowNanoseconds / SPEED_PERIOD.toNanos();
    boolean slow =
        RandomSource.SPLIT_MIX_64.create(seed + period).nextInt(SERVERS_PER_SLOW_ONE) == 0;
    return slow ? LOW_SPEED : USUAL_SPEED;
  }
}
