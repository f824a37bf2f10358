package org.corianderweir.daemon.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpCall;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;

/** Finds the handler of an operation. Filled at the start, then only read. */
final class RouteTable {
  private static final Set<String> OPTIONS =
      Set.of(
          Operation.EXPECTED_REVISION, Operation.OPERATION, Operation.DRY_RUN, Operation.KEEP_KEYS);

  private final Map<String, Handler> handlers = new HashMap<>();
  private final ConfigurationWriter writer;

  RouteTable(ConfigurationWriter writer) {
    this.writer = writer;
  }

  /** Answers one operation; the future's value is written as JSON. */
  interface Handler {
    CompletableFuture<?> handle(HttpCall call);
  }

  /** Answers an operation that changes something in another way than a plain change does. */
  interface Writing<Q, A> {
    CompletableFuture<A> handle(Q request, WriteOptions options);
  }

  <Q, A> void read(Operation<Q, A> operation, Function<Q, A> handler) {
    put(
        operation,
        call -> CompletableFuture.completedFuture(handler.apply(request(operation, call))));
  }

  <Q, A> void readLater(Operation<Q, A> operation, Function<Q, CompletableFuture<A>> handler) {
    put(operation, call -> handler.apply(request(operation, call)));
  }

  <Q, A> void write(Operation<Q, A> operation, Writing<Q, A> handler) {
    put(operation, call -> handler.handle(request(operation, call), WriteOptions.of(call)));
  }

  <Q> void change(
      Operation<Q, OperatorMessages.Accepted> operation, ConfigurationWriter.ChangeMaker<Q> maker) {
    put(
        operation,
        call -> {
          WriteOptions options = WriteOptions.of(call);
          Optional<Long> accepted = writer.accepted(options);
          if (accepted.isPresent()) {
            return CompletableFuture.completedFuture(new OperatorMessages.Accepted(accepted.get()));
          }
          ConfigurationChange change = writer.change(maker, request(operation, call), options);
          return options.dryRun()
              ? CompletableFuture.completedFuture(writer.report(change))
              : writer.apply(change, options).thenApply(OperatorMessages.Accepted::new);
        });
  }

  Optional<Handler> find(HttpCall call) {
    return Optional.ofNullable(handlers.get(call.method() + " " + call.path()));
  }

  private void put(Operation<?, ?> operation, Handler handler) {
    handlers.put(operation.method() + " " + operation.path(), handler);
  }

  private static <Q> Q request(Operation<Q, ?> operation, HttpCall call) {
    return call.body().length > 0
        ? Json.read(call.bodyText(), operation.requestType())
        : Json.fromFields(fields(call), operation.requestType());
  }

  private static Map<String, String> fields(HttpCall call) {
    Map<String, String> fields = new HashMap<>();
    int query = call.target().indexOf('?');
    String text = query < 0 ? "" : call.target().substring(query + 1);
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0 && !OPTIONS.contains(pair.substring(0, equals))) {
        fields.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return fields;
  }
}
