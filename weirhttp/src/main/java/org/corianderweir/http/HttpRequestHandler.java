package org.corianderweir.http;

import java.util.concurrent.CompletableFuture;

/** Handles complete requests. */
public interface HttpRequestHandler {
  /**
   * Starts handling a request and returns its future response. Must not block. The server cancels
   * the future when the caller disconnects.
   */
  CompletableFuture<HttpResponse> handle(HttpRequest request);
}
