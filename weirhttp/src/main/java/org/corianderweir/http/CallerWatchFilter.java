package org.corianderweir.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Notices a caller that goes away while its request is being answered. Grizzly stops reading then
 * and would see the end of the connection only after the answer. Bytes that arrive meanwhile are
 * dropped and the connection is closed after the answer, so that answers can't change places; a
 * client that sends requests ahead of answers has to expect this (RFC 9112, section 9.3.2).
 */
final class CallerWatchFilter extends BaseFilter {
  private static final Attribute<Watch> WATCH =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.watch");

  private enum Watch {
    ANSWERING,
    ANSWERING_AND_CLOSING,
    WRITING
  }

  /** Begins to watch the caller of a request that was read to its end. */
  static void begin(Connection<?> connection) {
    WATCH.set(connection, Watch.ANSWERING);
    try {
      connection.enableIOEvent(IOEvent.READ);
    } catch (java.io.IOException closed) {
      connection.closeSilently();
    }
  }

  /** Stops reading before the answer is written; returns whether the connection may be kept. */
  static boolean beginWrite(Connection<?> connection) {
    try {
      connection.disableIOEvent(IOEvent.READ);
    } catch (java.io.IOException closed) {
      connection.closeSilently();
    }
    Watch before = WATCH.get(connection);
    WATCH.set(connection, Watch.WRITING);
    return before != Watch.ANSWERING_AND_CLOSING;
  }

  /** Ends the watch after the answer was written. */
  static void end(Connection<?> connection) {
    WATCH.remove(connection);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    Watch watch = WATCH.get(connection);
    if (watch == null) {
      return context.getInvokeAction();
    }
    Buffer dropped = context.getMessage();
    dropped.tryDispose();
    if (watch == Watch.WRITING) {
      connection.closeSilently();
    } else {
      WATCH.set(connection, Watch.ANSWERING_AND_CLOSING);
    }
    return context.getStopAction();
  }
}
