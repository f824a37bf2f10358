package org.corianderweir.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Handles complete requests and can find out whether the caller has left. */
@FunctionalInterface
public interface CallerRequestHandler {
  /**
   * Starts handling a request and returns its future response. Must not block. The server cancels
   * the future when it notices that the caller disconnected, which can be late if the process is
   * short of processor time.
   *
   * @param caller the caller's connection, valid until the response is complete
   */
  CompletableFuture<HttpResponse> handle(HttpRequest request, CallerConnection caller);

  /**
   * Returns whether a request may run beside other requests of its connection, because it may be
   * repeated. A request that may not starts only when all requests before it are answered, and none
   * behind it starts before it is answered. Must not block.
   */
  default boolean mayRunBeside(HttpRequest head) {
    return false;
  }

  /**
   * Returns the answer to a request whose body need not be read, because the request can't be
   * served. Called for bodies that are large or of unknown length, with the request without body.
   */
  default Optional<HttpResponse> refuseEarly(HttpRequest head) {
    return Optional.empty();
  }
}
