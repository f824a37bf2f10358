package org.corianderweir.bench.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;
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
  private static final String VALUES = "/values/";
  private static final String LEASES = "/leases/";
  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int VALUE_LIMIT_BYTES = 1_000_000;
  private static final int WORKER_THREADS = 4;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_ABSENT = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_LARGE = 413;

  private static final int STATUS_UNAVAILABLE = 503;

  private final InMemoryPlatform memory;
  private final FaultyPlatform platform;
  private final HttpListener listener;

  private record Version(long version) {}

  private record InstanceList(List<ListedInstance> instances) {}

  private record Problem(String message) {}

  private record Token(long token) {}

  private record Holder(String holder) {}

  /** Creates a stand-in that does not listen yet. */
  public PlatformStandIn(String host, int port, PlatformRates rates, TimeSource time) {
    memory = new InMemoryPlatform(time);
    platform = new FaultyPlatform(memory, rates, time);
    listener =
        new HttpListener(
            new HttpListenerOptions("platform", host, port, BODY_LIMIT_BYTES, WORKER_THREADS),
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

  /** Returns the port that the stand-in listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the platform behind the interface, whose faults can be switched. */
  public FaultyPlatform platform() {
    return platform;
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    try {
      return route(call).exceptionallyCompose(PlatformStandIn::failed);
    } catch (IllegalArgumentException | WeirException failure) {
      return problem(STATUS_BAD_REQUEST, String.valueOf(failure.getMessage()));
    }
  }

  private CompletableFuture<HttpReply> route(HttpCall call) {
    String path = call.path();
    if (path.startsWith(VALUES)) {
      return routeValue(decode(path.substring(VALUES.length())), call);
    }
    if (path.startsWith(LEASES)) {
      return routeLease(decode(path.substring(LEASES.length())), call);
    }
    return switch (call.method() + ' ' + path) {
      case "GET /instances" ->
          platform.listInstances().thenApply(list -> json(new InstanceList(list)));
      case "PUT /instances" -> {
        memory.setInstances(Json.read(call.bodyText(), InstanceList.class).instances());
        yield memory.listInstances().thenApply(list -> json(new InstanceList(list)));
      }
      case "GET /faults" -> CompletableFuture.completedFuture(json(platform.faults()));
      case "PUT /faults" -> {
        platform.setFaults(Json.read(call.bodyText(), PlatformFaults.class));
        yield CompletableFuture.completedFuture(json(platform.faults()));
      }
      case "GET /calls" -> CompletableFuture.completedFuture(json(platform.calls()));
      default -> problem(STATUS_ABSENT, "no such operation");
    };
  }

  private CompletableFuture<HttpReply> routeValue(String key, HttpCall call) {
    return switch (call.method()) {
      case "PUT" -> write(key, call);
      case "DELETE" -> platform.delete(key, expectedVersion(call)).thenApply(this::written);
      default -> read(key, call);
    };
  }

  private CompletableFuture<HttpReply> routeLease(String name, HttpCall call) {
    String holder = call.parameter("holder", "");
    if (call.method().equals("DELETE")) {
      return platform.releaseLease(name, holder).thenApply(unused -> json(new Token(0)));
    }
    Duration duration = Duration.ofMillis(Long.parseLong(call.parameter("milliseconds", "0")));
    return platform.acquireLease(name, holder, duration).thenApply(PlatformStandIn::lease);
  }

  private CompletableFuture<HttpReply> read(String key, HttpCall call) {
    String newerThan = call.parameter("newer-than", "");
    CompletableFuture<Optional<StoredValue>> stored =
        newerThan.isEmpty()
            ? platform.read(key)
            : platform.watch(
                key,
                Long.parseLong(newerThan),
                Duration.ofMillis(Long.parseLong(call.parameter("wait-milliseconds", "0"))));
    return stored.thenApply(
        value ->
            value
                .map(PlatformStandIn::json)
                .orElse(HttpReply.json(STATUS_ABSENT, Json.write(new Problem("absent")))));
  }

  private CompletableFuture<HttpReply> write(String key, HttpCall call) {
    if (call.body().length > VALUE_LIMIT_BYTES) {
      return problem(STATUS_TOO_LARGE, "the value is above one megabyte");
    }
    return platform
        .compareAndSwap(key, expectedVersion(call), call.bodyText())
        .thenApply(this::written);
  }

  private HttpReply written(WriteResult result) {
    return switch (result) {
      case WriteResult.Written written -> json(new Version(written.version()));
      case WriteResult.Conflict conflict ->
          HttpReply.json(STATUS_CONFLICT, Json.write(new Version(conflict.currentVersion())));
    };
  }

  private static HttpReply lease(LeaseResult result) {
    return switch (result) {
      case LeaseResult.Granted granted -> json(new Token(granted.fencingToken()));
      case LeaseResult.HeldByOther held ->
          HttpReply.json(STATUS_CONFLICT, Json.write(new Holder(held.holder())));
    };
  }

  /** A call that failed did nothing, unless its answer got lost: then the caller hears nothing. */
  private static CompletableFuture<HttpReply> failed(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    if (cause instanceof WeirException typed && typed.code() == ErrorCode.ANSWER_LOST) {
      return new CompletableFuture<>();
    }
    return problem(STATUS_UNAVAILABLE, String.valueOf(cause.getMessage()));
  }

  private static long expectedVersion(HttpCall call) {
    return Long.parseLong(call.parameter("expected-version", "0"));
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static HttpReply json(Object value) {
    return HttpReply.json(STATUS_OK, Json.write(value));
  }

  private static CompletableFuture<HttpReply> problem(int status, String message) {
    return CompletableFuture.completedFuture(
        HttpReply.json(status, Json.write(new Problem(message))));
  }
}
