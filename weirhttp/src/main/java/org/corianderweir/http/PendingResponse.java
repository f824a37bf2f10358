package org.corianderweir.http;

import java.util.Optional;

/**
 * A response that is being read. Thread-safe, because its memory may be given by another thread.
 */
final class PendingResponse {
  private final HttpExchange exchange;
  private final ResponseReader reader;
  private final BodyMemory bodyMemory;
  private final MemoryLease lease;
  private final boolean ownsLease;
  private final BodyBuffer body;
  private boolean begun;
  private boolean waiting;
  private boolean complete;
  private byte[] firstPart = new byte[0];
  private long lengthBytes;
  private String failure = "";

  /** What became of a part of the body. */
  enum Progress {
    ADDED,
    WAITING,
    FAILED
  }

  PendingResponse(HttpExchange exchange, HttpClientOptions options) {
    this.exchange = exchange;
    reader = new ResponseReader(exchange.isHeadRequest());
    bodyMemory = options.memory();
    ownsLease = exchange.request().memory().isEmpty();
    lease = exchange.request().memory().orElseGet(MemoryLease::new);
    body = new BodyBuffer(options.responseLimitBytes(), bodyMemory, lease);
  }

  HttpExchange exchange() {
    return exchange;
  }

  /** Returns the reader of the response, for the thread that reads. */
  ResponseReader reader() {
    return reader;
  }

  /** Returns the reason why the last part failed. */
  synchronized String failure() {
    return failure;
  }

  /** Returns the budget for which the response waits. */
  synchronized MemoryBudget memory() {
    return bodyMemory.budgetFor(lengthBytes);
  }

  /** Adds a part of the body. */
  synchronized Progress add(ResponseReader.Progress.BodyPart part) {
    if (waiting) {
      failure = "more bytes came while the response waited for memory";
      return Progress.FAILED;
    }
    if (begun || part.length().isEmpty()) {
      begun = true;
      return progress(body.add(part.bytes()));
    }
    begun = true;
    lengthBytes = part.length().getAsLong();
    BodyBuffer.Addition beginning = body.begin(lengthBytes);
    if (beginning == BodyBuffer.Addition.BUDGET_EXHAUSTED
        && lengthBytes <= bodyMemory.budgetFor(lengthBytes).limitBytes()) {
      firstPart = part.bytes();
      complete = part.last();
      waiting = true;
      return Progress.WAITING;
    }
    return progress(beginning == BodyBuffer.Addition.ADDED ? body.add(part.bytes()) : beginning);
  }

  /** Returns whether the first part of the body was added. */
  synchronized boolean hasBody() {
    return begun && !waiting;
  }

  /** Returns whether the response waits for memory. */
  synchronized boolean isWaiting() {
    return waiting;
  }

  /** Tries to end the wait for memory; returns whether this call has ended it. */
  synchronized boolean tryResume() {
    if (!waiting || body.begin(lengthBytes) != BodyBuffer.Addition.ADDED) {
      return false;
    }
    body.add(firstPart);
    firstPart = new byte[0];
    waiting = false;
    return true;
  }

  /** Returns whether the part for which there was no memory was the last one. */
  synchronized boolean isComplete() {
    return complete;
  }

  /** Returns the whole body; empty if there is no memory for it. */
  synchronized Optional<byte[]> takeBody() {
    return body.take();
  }

  /** Gives the memory back, unless it belongs to the exchange with a caller. */
  void endOwnLease() {
    if (ownsLease) {
      lease.end();
    }
  }

  private Progress progress(BodyBuffer.Addition addition) {
    failure =
        switch (addition) {
          case ADDED -> "";
          case BODY_TOO_LARGE -> "the response body is above the size limit";
          case BUDGET_EXHAUSTED -> "the response bodies together are above the memory limit";
        };
    return failure.isEmpty() ? Progress.ADDED : Progress.FAILED;
  }
}
