package org.corianderweir.http;

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
}
