package org.corianderweir.daemon.traffic;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.configuration.BackendServer;

/** A backend server that keeps a journal of the requests it got and answers as it is told. */
final class FakeBackend implements AutoCloseable {
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;

  final List<HttpCall> journal = new CopyOnWriteArrayList<>();
  private final String name;
  private final HttpListener listener;

  FakeBackend(String name, Function<HttpCall, CompletableFuture<HttpReply>> behaviour) {
    this.name = name;
    listener =
        new HttpListener(
            new HttpListenerOptions(name, "127.0.0.1", 0, BODY_LIMIT_BYTES, 2),
            call -> {
              journal.add(call);
              return behaviour.apply(call);
            });
    listener.start();
  }

  static CompletableFuture<HttpReply> answer(HttpCall call) {
    return CompletableFuture.completedFuture(HttpReply.json(200, "\"done\""));
  }

  static CompletableFuture<HttpReply> refuse(HttpCall call) {
    return CompletableFuture.completedFuture(
        HttpReply.json(503, "{}").with("Server-Refused", "not-run"));
  }

  /** Runs the request and loses the answer: the reply is above the limit of the client. */
  static CompletableFuture<HttpReply> loseAnswer(HttpCall call) {
    return CompletableFuture.completedFuture(
        new HttpReply(200, org.corianderweir.http.HttpHeaders.NONE, new byte[2 * 1024 * 1024]));
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
