package org.corianderweir.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests of a listener that have been read completely and whose responses have not
 * been passed on completely, whether they wait, are handled, or are answered behind others. A stop
 * may end the process when there are none. Thread-safe.
 */
final class RequestAccount {
  private final AtomicInteger open = new AtomicInteger();

  /** Records a request that was read. */
  void onRead() {
    open.incrementAndGet();
  }

  /** Records requests whose responses were passed on, or whose connection has ended. */
  void onEnded(int count) {
    open.addAndGet(-count);
  }

  /** Returns the number of requests that have no complete response. */
  int openCount() {
    return open.get();
  }
}
