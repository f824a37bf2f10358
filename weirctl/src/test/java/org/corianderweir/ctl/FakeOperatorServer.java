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

/** A small operators' interface with prepared answers that remembers what it was asked. */
final class FakeOperatorServer {
  static final String CREDENTIAL = "secret of the operators";

  private static final int BODY_LIMIT_BYTES = 1024 * 1024;

  private final Map<String, HttpResponse> replies = new ConcurrentHashMap<>();
  private final List<String> calls = new CopyOnWriteArrayList<>();
  private final HttpListener listener =
      new HttpListener(
          new HttpListenerOptions("operators", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1), this::answer);

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
    replies.clear();
    calls.clear();
  }

  /** Prepares the answer of an operation, for example {@code GET /status}. */
  void reply(String operation, Object value) {
    replies.put(operation, HttpResponse.json(200, Json.write(value)));
  }

  void replyWithFailure(String operation, int status, String code, String message) {
    replies.put(
        operation,
        HttpResponse.json(status, Json.write(new OperatorMessages.Failure(code, message))));
  }

  /** Returns what was asked, in order: method, target and body, less the name of the operation. */
  List<String> calls() {
    return calls.stream()
        .map(call -> call.replaceFirst("operation=[^& ]+", "operation=X"))
        .toList();
  }

  private CompletableFuture<HttpResponse> answer(HttpRequest call) {
    calls.add((call.method() + " " + call.target() + " " + call.bodyText()).strip());
    boolean authorised =
        call.headers().first("Weir-Operator-Credential").filter(CREDENTIAL::equals).isPresent();
    HttpResponse notFound = HttpResponse.json(404, Json.write(failure("not-found")));
    HttpResponse unauthorised = HttpResponse.json(401, Json.write(failure("credential-rejected")));
    return CompletableFuture.completedFuture(
        authorised
            ? replies.getOrDefault(call.method() + " " + call.path(), notFound)
            : unauthorised);
  }

  private static OperatorMessages.Failure failure(String code) {
    return new OperatorMessages.Failure(code, code);
  }
}
