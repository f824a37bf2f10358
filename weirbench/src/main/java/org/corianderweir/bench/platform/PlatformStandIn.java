package org.corianderweir.bench.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.protocol.Json;

/** Serves an in-memory platform over the HTTP protocol of docs/PLATFORM.md. */
public final class PlatformStandIn {
  private static final String VALUES_PATH = "/values/";
  private static final String LEASES_PATH = "/leases/";
  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int VALUE_LIMIT_BYTES = 1_000_000;
  private static final int WORKER_THREADS = 4;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_LARGE = 413;

  private static final int STATUS_UNAVAILABLE = 503;

  private final InMemoryPlatform inMemoryPlatform;
  private final FaultInjectingPlatform platform;
  private final HttpListener listener;

  private record Version(long version) {}

  private record InstanceList(List<ListedInstance> instances) {}

  private record Problem(String message) {}

  private record Token(long token) {}

  private record Holder(String holder) {}

  /** Creates a stand-in that does not listen yet. */
  public PlatformStandIn(String host, int port, PlatformRates rates, TimeSource time) {
    inMemoryPlatform = new InMemoryPlatform(time);
    platform = new FaultInjectingPlatform(inMemoryPlatform, rates, time);
    listener =
        new HttpListener(
            new HttpListenerOptions("platform", host, port, BODY_LIMIT_BYTES, WORKER_THREADS),
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

  /** Returns the port that the stand-in listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the platform behind the HTTP interface, for switching its faults. */
  public FaultInjectingPlatform platform() {
    return platform;
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    try {
      return route(request).exceptionallyCompose(PlatformStandIn::failureResponse);
    } catch (IllegalArgumentException | WeirException failure) {
      return errorResponse(STATUS_BAD_REQUEST, String.valueOf(failure.getMessage()));
    }
  }

  private CompletableFuture<HttpResponse> route(HttpRequest request) {
    String path = request.path();
    if (path.startsWith(VALUES_PATH)) {
      return routeValue(decode(path.substring(VALUES_PATH.length())), request);
    }
    if (path.startsWith(LEASES_PATH)) {
      return routeLease(decode(path.substring(LEASES_PATH.length())), request);
    }
    return switch (request.method() + ' ' + path) {
      case "GET /instances" ->
          platform.listInstances().thenApply(list -> jsonResponse(new InstanceList(list)));
      case "PUT /instances" -> {
        inMemoryPlatform.setInstances(
            Json.read(request.bodyText(), InstanceList.class).instances());
        yield inMemoryPlatform
            .listInstances()
            .thenApply(list -> jsonResponse(new InstanceList(list)));
      }
      case "GET /faults" -> CompletableFuture.completedFuture(jsonResponse(platform.faults()));
      case "PUT /faults" -> {
        platform.setFaults(Json.read(request.bodyText(), PlatformFaults.class));
        yield CompletableFuture.completedFuture(jsonResponse(platform.faults()));
      }
      case "GET /calls" -> CompletableFuture.completedFuture(jsonResponse(platform.calls()));
      default -> errorResponse(STATUS_NOT_FOUND, "no such operation");
    };
  }

  private CompletableFuture<HttpResponse> routeValue(String key, HttpRequest request) {
    return switch (request.method()) {
      case "PUT" -> write(key, request);
      case "DELETE" ->
          platform.delete(key, expectedVersion(request)).thenApply(this::writeResponse);
      default -> read(key, request);
    };
  }

  private CompletableFuture<HttpResponse> routeLease(String name, HttpRequest request) {
    String holder = request.parameter("holder", "");
    if (request.method().equals("DELETE")) {
      return platform.releaseLease(name, holder).thenApply(unused -> jsonResponse(new Token(0)));
    }
    Duration duration = Duration.ofMillis(Long.parseLong(request.parameter("milliseconds", "0")));
    return platform.acquireLease(name, holder, duration).thenApply(PlatformStandIn::leaseResponse);
  }

  private CompletableFuture<HttpResponse> read(String key, HttpRequest request) {
    String newerThan = request.parameter("newer-than", "");
    CompletableFuture<Optional<StoredValue>> stored =
        newerThan.isEmpty()
            ? platform.read(key)
            : platform.watch(
                key,
                Long.parseLong(newerThan),
                Duration.ofMillis(Long.parseLong(request.parameter("wait-milliseconds", "0"))));
    return stored.thenApply(
        value ->
            value
                .map(PlatformStandIn::jsonResponse)
                .orElse(HttpResponse.json(STATUS_NOT_FOUND, Json.write(new Problem("absent")))));
  }

  private CompletableFuture<HttpResponse> write(String key, HttpRequest request) {
    if (request.body().length > VALUE_LIMIT_BYTES) {
      return errorResponse(STATUS_TOO_LARGE, "the value is above one megabyte");
    }
    return platform
        .compareAndSwap(key, expectedVersion(request), request.bodyText())
        .thenApply(this::writeResponse);
  }

  private HttpResponse writeResponse(WriteResult result) {
    return switch (result) {
      case WriteResult.Written written -> jsonResponse(new Version(written.version()));
      case WriteResult.Conflict conflict ->
          HttpResponse.json(STATUS_CONFLICT, Json.write(new Version(conflict.currentVersion())));
    };
  }

  private static HttpResponse leaseResponse(LeaseResult result) {
    return switch (result) {
      case LeaseResult.Granted granted -> jsonResponse(new Token(granted.fencingToken()));
      case LeaseResult.HeldByOther held ->
          HttpResponse.json(STATUS_CONFLICT, Json.write(new Holder(held.holder())));
    };
  }

  /**
   * Returns an error for a call that failed without effect. A call whose answer was lost may have
   * taken effect, so it gets no answer at all.
   */
  private static CompletableFuture<HttpResponse> failureResponse(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    if (cause instanceof WeirException typed && typed.code() == ErrorCode.ANSWER_LOST) {
      return new CompletableFuture<>();
    }
    return errorResponse(STATUS_UNAVAILABLE, String.valueOf(cause.getMessage()));
  }

  private static long expectedVersion(HttpRequest request) {
    return Long.parseLong(request.parameter("expected-version", "0"));
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static HttpResponse jsonResponse(Object value) {
    return HttpResponse.json(STATUS_OK, Json.write(value));
  }

  private static CompletableFuture<HttpResponse> errorResponse(int status, String message) {
    return CompletableFuture.completedFuture(
        HttpResponse.json(status, Json.write(new Problem(message))));
  }
}
