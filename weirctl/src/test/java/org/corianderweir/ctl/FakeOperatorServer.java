package org.corianderweir.ctl;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;

/** A fake of the operators' interface that returns prepared responses and records its requests. */
final class FakeOperatorServer {
  static final String CREDENTIAL = "secret of the operators";

  private static final int BODY_LIMIT_BYTES = 1024 * 1024;

  private final Map<String, HttpResponse> responses = new ConcurrentHashMap<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final HttpListener listener =
      new HttpListener(
          new HttpListenerOptions("operators", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1), this::handle);

  void start() {
    listener.start();
  }

  void stop() {
    listener.stop(0);
  }

  int port() {
    return listener.port();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  void reset() {
    responses.clear();
    requests.clear();
  }

  /** Prepares the response of an operation, for example {@code GET /status}. */
  void respond(String operation, Object value) {
    responses.put(operation, HttpResponse.json(200, Json.write(value)));
  }

  void respondWithFailure(String operation, int status, String code, String message) {
    responses.put(
        operation,
        HttpResponse.json(status, Json.write(new OperatorMessages.Failure(code, message))));
  }

  /**
   * Returns the received requests in order, each as method, target and body. Operation identifiers
   * are replaced by {@code X}, because they are random.
   */
  List<String> requests() {
    return requests.stream()
        .map(request -> request.replaceFirst("operation=[^& ]+", "operation=X"))
        .toList();
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    requests.add((request.method() + " " + request.target() + " " + request.bodyText()).strip());
    boolean authorised =
        request.headers().first("Weir-Operator-Credential").filter(CREDENTIAL::equals).isPresent();
    HttpResponse notFound = HttpResponse.json(404, Json.write(failure("not-found")));
    HttpResponse unauthorised = HttpResponse.json(401, Json.write(failure("credential-rejected")));
    return CompletableFuture.completedFuture(
        authorised
            ? responses.getOrDefault(request.method() + " " + request.path(), notFound)
            : unauthorised);
  }

  private static OperatorMessages.Failure failure(String code) {
    return new OperatorMessages.Failure(code, code);
  }
}
