package org.corianderweir.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from connections also while their requests are handled. Reads by itself, because a look at
 * a connection may read at the same time and the bytes must keep their order.
 */
final class ReadAheadFilter extends TransportFilter {

  private final ListenerContext listener;

  /** Used by the one selector thread of the listener. What was read is copied to its size. */
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(TransportMemory.READ_BYTES);

  ReadAheadFilter(ListenerContext listener) {
    this.listener = listener;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) throws IOException {
    CallerPipeline.attach(context.getConnection(), listener);
    return super.handleAccept(context);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    CallerPipeline pipeline = CallerPipeline.of(connection);
    ReadAhead readAhead = pipeline.readAhead();
    if (!pipeline.mayParse() && readAhead.pauseIfFull()) {
      connection.disableIOEvent(IOEvent.READ);
      // Room that was made in between has not found the pause.
      pipeline.resumeReading();
      return context.getStopAction();
    }
    pipeline.reader().resumeDeferred();
    SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
    Optional<byte[]> bytes = readAhead.read(channel, readBuffer);
    if (bytes.isEmpty()) {
      connection.terminateSilently();
      return context.getStopAction();
    }
    if (bytes.get().length == 0) {
      return context.getStopAction();
    }
    context.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes.get()));
    return context.getInvokeAction();
  }
}
