package org.corianderweir.daemon.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;

/** Maps requests to the handlers of operations. Filled at startup and only read afterwards. */
final class RouteTable {
  private static final Set<String> OPTIONS =
      Set.of(
          Operation.EXPECTED_REVISION_PARAMETER,
          Operation.OPERATION_IDENTIFIER_PARAMETER,
          Operation.DRY_RUN_PARAMETER,
          Operation.KEEP_KEYS_PARAMETER);

  private final Map<String, Handler> handlers = new HashMap<>();
  private final OperatorChangeHandler changeHandler;

  RouteTable(OperatorChangeHandler changeHandler) {
    this.changeHandler = changeHandler;
  }

  /** Handles the requests of one operation; the value of the future is written as JSON. */
  interface Handler {
    CompletableFuture<?> handle(HttpRequest httpRequest);
  }

  /**
   * Handles an operation that changes something but is not a plain change of the configuration.
   *
   * @param <Q> type of the request
   * @param <A> type of the response
   */
  interface WriteHandler<Q extends Record, A> {
    CompletableFuture<A> handle(Q request, WriteOptions options);
  }

  <Q extends Record, A> void read(Operation<Q, A> operation, Function<Q, A> handler) {
    put(
        operation,
        httpRequest ->
            CompletableFuture.completedFuture(handler.apply(parseRequest(operation, httpRequest))));
  }

  <Q extends Record, A> void readAsync(
      Operation<Q, A> operation, Function<Q, CompletableFuture<A>> handler) {
    put(operation, httpRequest -> handler.apply(parseRequest(operation, httpRequest)));
  }

  <Q extends Record, A> void write(Operation<Q, A> operation, WriteHandler<Q, A> handler) {
    put(
        operation,
        httpRequest ->
            handler.handle(parseRequest(operation, httpRequest), WriteOptions.of(httpRequest)));
  }

  <Q extends Record> void change(
      Operation<Q, OperatorMessages.Accepted> operation,
      OperatorChangeHandler.ChangeFactory<Q> factory) {
    put(
        operation,
        httpRequest -> {
          WriteOptions options = WriteOptions.of(httpRequest);
          Optional<Long> accepted = changeHandler.findAcceptedRevision(options);
          if (accepted.isPresent()) {
            return CompletableFuture.completedFuture(new OperatorMessages.Accepted(accepted.get()));
          }
          ConfigurationChange change =
              changeHandler.createChange(factory, parseRequest(operation, httpRequest), options);
          return options.dryRun()
              ? CompletableFuture.completedFuture(changeHandler.dryRun(change))
              : changeHandler.apply(change, options).thenApply(OperatorMessages.Accepted::new);
        });
  }

  Optional<Handler> find(HttpRequest httpRequest) {
    return Optional.ofNullable(handlers.get(httpRequest.method() + " " + httpRequest.path()));
  }

  private void put(Operation<?, ?> operation, Handler handler) {
    handlers.put(operation.method() + " " + operation.path(), handler);
  }

  private static <Q extends Record> Q parseRequest(
      Operation<Q, ?> operation, HttpRequest httpRequest) {
    return httpRequest.body().length > 0
        ? Json.read(httpRequest.bodyText(), operation.requestType())
        : Json.fromFields(queryParameters(httpRequest), operation.requestType());
  }

  private static Map<String, String> queryParameters(HttpRequest httpRequest) {
    Map<String, String> queryParameters = new HashMap<>();
    int query = httpRequest.target().indexOf('?');
    String text = query < 0 ? "" : httpRequest.target().substring(query + 1);
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0 && !OPTIONS.contains(pair.substring(0, equals))) {
        queryParameters.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return queryParameters;
  }
}
