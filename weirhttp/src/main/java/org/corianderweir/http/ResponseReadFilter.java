package org.corianderweir.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads responses from servers. While memory is short, it reads little of a response until its body
 * is reserved, since what is read before is held uncounted. Reads by itself, because the transport
 * uses a whole buffer of its thread, which is as large as the largest part that was written.
 */
final class ResponseReadFilter extends TransportFilter {
  /** Bytes of a read while the response may have to wait; most heads are shorter. */
  static final int SMALL_READ_BYTES = 2 * 1024;

  private final BodyMemory memory;
  private final Predicate<Connection<?>> hasBody;

  /** Used by the one selector thread of the client. What was read is copied to its size. */
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(TransportMemory.READ_BYTES);

  /**
   * Creates the filter.
   *
   * @param hasBody tells whether the memory of the body of a connection's response is reserved
   */
  ResponseReadFilter(BodyMemory memory, Predicate<Connection<?>> hasBody) {
    this.memory = memory;
    this.hasBody = hasBody;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    readBuffer.clear();
    if (memory.isShort() && !hasBody.test(connection)) {
      readBuffer.limit(SMALL_READ_BYTES);
    }
    int count;
    try {
      count = ((SocketChannel) ((NIOConnection) connection).getChannel()).read(readBuffer);
    } catch (IOException reset) {
      count = -1;
    }
    if (count < 0) {
      connection.terminateSilently();
    }
    if (count <= 0) {
      return context.getStopAction();
    }
    byte[] bytes = new byte[count];
    readBuffer.flip().get(bytes);
    context.setMessage(ByteBuffer.wrap(bytes));
    return context.getInvokeAction();
  }
}
