package org.corianderweir.daemon.traffic;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.configuration.BackendServer;

/** A backend server that records the requests it receives and responds as a test specifies. */
final class FakeBackendServer implements AutoCloseable {
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;

  final List<HttpRequest> receivedRequests = new CopyOnWriteArrayList<>();
  private final String name;
  private final HttpListener listener;

  FakeBackendServer(String name, Function<HttpRequest, CompletableFuture<HttpResponse>> behaviour) {
    this.name = name;
    listener =
        new HttpListener(
            new HttpListenerOptions(name, "127.0.0.1", 0, BODY_LIMIT_BYTES, 2),
            request -> {
              receivedRequests.add(request);
              return behaviour.apply(request);
            });
    listener.start();
  }

  static CompletableFuture<HttpResponse> answer(HttpRequest request) {
    return CompletableFuture.completedFuture(HttpResponse.json(200, "\"done\""));
  }

  static CompletableFuture<HttpResponse> refuse(HttpRequest request) {
    return CompletableFuture.completedFuture(
        HttpResponse.json(503, "{}").withHeader("Server-Refused", "not-run"));
  }

  /** Runs the request but loses the response, which is larger than the client's limit. */
  static CompletableFuture<HttpResponse> loseAnswer(HttpRequest request) {
    return CompletableFuture.completedFuture(
        new HttpResponse(200, org.corianderweir.http.HttpHeaders.NONE, new byte[2 * 1024 * 1024]));
  }

  BackendServer server() {
    return server(name, listener.port());
  }

  static BackendServer server(String name, int port) {
    return new BackendServer(name, "shop", "zone", "127.0.0.1", port, 4, 660, false, List.of());
  }

  @Override
  public void close() {
    listener.stop(0);
  }
}
