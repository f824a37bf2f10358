package org.corianderweir.http;

import java.util.concurrent.CompletableFuture;

/** Answers whole requests. */
public interface HttpRequestHandler {
  /**
   * Starts to answer a request; must not block. The server cancels the future when the caller goes
   * away.
   */
  CompletableFuture<HttpResponse> handle(HttpRequest request);
}
