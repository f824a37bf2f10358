package org.corianderweir.daemon.peer;

import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Splits a TCP stream into frames: a length of four bytes in big-endian order, then the payload.
 */
final class FrameFilter extends BaseFilter {
  private static final int LENGTH_BYTES = 4;

  /**
   * Parts of frames up to this size are copied to an array of their size. Otherwise each read would
   * keep its buffer alive until the frame is complete.
   */
  private static final int COPIED_BYTES = 4 * 1024;

  private final ToIntFunction<Connection<?>> limitBytes;
  private final BiConsumer<Connection<?>, String> refusalHandler;

  /**
   * Creates a filter.
   *
   * @param limitBytes returns the largest payload that a connection may send; called for each
   *     frame, because the limit is higher after authentication
   * @param refusalHandler closes a connection that sent an invalid frame; gets the reason as text
   */
  FrameFilter(
      ToIntFunction<Connection<?>> limitBytes, BiConsumer<Connection<?>, String> refusalHandler) {
    this.limitBytes = limitBytes;
    this.refusalHandler = refusalHandler;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Buffer buffer = context.getMessage();
    if (buffer.remaining() < LENGTH_BYTES) {
      return context.getStopAction(compact(buffer));
    }
    int length = buffer.getInt(buffer.position());
    if (length <= 0 || length > limitBytes.applyAsInt(context.getConnection())) {
      refusalHandler.accept(context.getConnection(), "frame of " + length + " bytes");
      return context.getStopAction();
    }
    if (buffer.remaining() < LENGTH_BYTES + length) {
      return context.getStopAction(compact(buffer));
    }
    Buffer rest = buffer.split(buffer.position() + LENGTH_BYTES + length);
    buffer.position(buffer.position() + LENGTH_BYTES);
    byte[] payload = new byte[length];
    buffer.get(payload);
    buffer.tryDispose();
    context.setMessage(payload);
    return context.getInvokeAction(rest.hasRemaining() ? rest : null);
  }

  private static Buffer compact(Buffer part) {
    if (part.remaining() > COPIED_BYTES) {
      return part;
    }
    byte[] bytes = new byte[part.remaining()];
    part.get(bytes);
    part.tryDispose();
    return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
  }

  @Override
  public NextAction handleWrite(FilterChainContext context) {
    byte[] payload = context.getMessage();
    Buffer frame = MemoryManager.DEFAULT_MEMORY_MANAGER.allocate(LENGTH_BYTES + payload.length);
    frame.putInt(payload.length);
    frame.put(payload);
    frame.flip();
    frame.allowBufferDispose(true);
    context.setMessage(frame);
    return context.getInvokeAction();
  }
}
