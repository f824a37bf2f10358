package org.corianderweir.http;

import java.time.Duration;

/** The connection of a caller whose request is being handled. Thread-safe. */
public interface CallerConnection {
  /**
   * Returns whether the caller is still connected. Looks at the connection itself and so finds a
   * close that has arrived but was not processed yet. A caller that closes only its sending side
   * counts as disconnected. If the caller has left, the connection is closed. A close behind more
   * requests than are read ahead is not found.
   */
  boolean isOpen();

  /**
   * Returns how long the complete request waited, for its turn on the connection and for a thread,
   * before it was handled.
   */
  Duration queueTime();
}
