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
import org.corianderweir.model.WeirException;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.protocol.Json;

/** Serves an in-memory platform over the HTTP protocol of docs/PLATFORM.md. */
public final class PlatformStandIn {
  private static final String VALUES = "/values/";
  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int VALUE_LIMIT_BYTES = 1_000_000;
  private static final int WORKER_THREADS = 4;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_ABSENT = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_LARGE = 413;

  private final InMemoryPlatform platform = new InMemoryPlatform();
  private final HttpListener listener;

  private record Version(long version) {}

  private record InstanceList(List<ListedInstance> instances) {}

  private record Problem(String message) {}

  /** Creates a stand-in that does not listen yet. */
  public PlatformStandIn(String host, int port) {
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

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    try {
      return route(call);
    } catch (NumberFormatException | WeirException failure) {
      return problem(STATUS_BAD_REQUEST, String.valueOf(failure.getMessage()));
    }
  }

  private CompletableFuture<HttpReply> route(HttpCall call) {
    String path = call.path();
    if (path.startsWith(VALUES)) {
      String key = URLDecoder.decode(path.substring(VALUES.length()), StandardCharsets.UTF_8);
      return call.method().equals("PUT") ? write(key, call) : read(key, call);
    }
    if (path.equals("/instances") && call.method().equals("GET")) {
      return platform.listInstances().thenApply(list -> json(new InstanceList(list)));
    }
    if (path.equals("/instances") && call.method().equals("PUT")) {
      platform.setInstances(Json.read(call.bodyText(), InstanceList.class).instances());
      return platform.listInstances().thenApply(list -> json(new InstanceList(list)));
    }
    return problem(STATUS_ABSENT, "no such operation");
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
    long expected = Long.parseLong(call.parameter("expected-version", "0"));
    return platform
        .compareAndSwap(key, expected, call.bodyText())
        .thenApply(
            result ->
                switch (result) {
                  case WriteResult.Written written -> json(new Version(written.version()));
                  case WriteResult.Conflict conflict ->
                      HttpReply.json(
                          STATUS_CONFLICT, Json.write(new Version(conflict.currentVersion())));
                });
  }

  private static HttpReply json(Object value) {
    return HttpReply.json(STATUS_OK, Json.write(value));
  }

  private static CompletableFuture<HttpReply> problem(int status, String message) {
    return CompletableFuture.completedFuture(
        HttpReply.json(status, Json.write(new Problem(message))));
  }
}
