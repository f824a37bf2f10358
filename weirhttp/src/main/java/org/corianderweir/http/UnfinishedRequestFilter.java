package org.corianderweir.http;

import java.io.IOException;
import org.glassfish.grizzly.Appendable;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Passes a head to the codec when it is complete, and a chunk line when it has its end. Before that
 * the bytes are held in one array of about their size and counted. The codec would keep a slice of
 * each read, which keeps the whole array of the read alive, and its objects for each header field.
 */
final class UnfinishedRequestFilter extends BaseFilter {
  private static final Attribute<InboundStream> STREAM =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.inboundStream");

  private final UnfinishedRequests requests;
  private final int headLimitBytes;

  UnfinishedRequestFilter(UnfinishedRequests requests, int headLimitBytes) {
    this.requests = requests;
    this.headLimitBytes = headLimitBytes;
  }

  /** Tells what follows the head that the codec has parsed last on a connection. */
  static void onHead(Connection<?> connection, boolean chunked, long lengthBytes) {
    InboundStream stream = STREAM.get(connection);
    if (stream != null) {
      stream.onHead(chunked, lengthBytes);
    }
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    InboundStream stream = new InboundStream(requests, connection, headLimitBytes);
    STREAM.set(connection, stream);
    requests.add(stream);
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    InboundStream stream = STREAM.get(context.getConnection());
    Buffer input = bytes(context.getMessage());
    CallerPipeline pipeline = CallerPipeline.of(context.getConnection());
    if (pipeline.hasReadingEnded()) {
      input.tryDispose();
      return context.getStopAction();
    }
    if (!pipeline.mayParse() || pipeline.reader().isDeferred()) {
      // These bytes come again from below, so they must not be gone over yet.
      pipeline.hold(input);
      return context.getStopAction();
    }
    stream.onBytes(System.nanoTime());
    int end = stream.advance(input);
    if (stream.isUnfinished() || end > input.position()) {
      ConnectionGuard.onBytesReceived(context.getConnection());
    }
    NextAction action =
        end > input.position() ? pass(context, stream, input, end) : hold(context, stream, input);
    if (!stream.awaitsFraming()) {
      requests.onChange(stream);
    }
    return action;
  }

  private NextAction pass(FilterChainContext context, InboundStream stream, Buffer input, int end) {
    Buffer rest = end < input.limit() ? input.split(end) : null;
    context.setMessage(stream.join(input));
    stream.setRestCount(0);
    if (rest == null) {
      reserve(stream, 0);
      return context.getInvokeAction();
    }
    if (stream.isAtBoundary()) {
      stream.setRestCount(rest.remaining());
      return reserve(stream, 0)
          ? context.getInvokeAction(new Rest(InboundStream.copy(rest)))
          : context.getStopAction();
    }
    if (!reserve(stream, rest.remaining())) {
      return context.getStopAction();
    }
    stream.hold(rest);
    return context.getInvokeAction();
  }

  private NextAction hold(FilterChainContext context, InboundStream stream, Buffer input) {
    stream.setRestCount(0);
    if (reserve(stream, input.remaining())) {
      stream.hold(input);
    }
    return context.getStopAction();
  }

  /** Reserves what the connection will hold with more bytes; returns false if it was closed. */
  private boolean reserve(InboundStream stream, int additionalCount) {
    return requests.reserve(
        stream, (long) stream.capacityFor(additionalCount) + stream.restCount());
  }

  private static Buffer bytes(Object message) {
    return message instanceof Rest rest ? rest.bytes : (Buffer) message;
  }

  /**
   * What follows a head or a request, until the codec has used these. When the codec refuses a
   * head, the chain keeps the rest and adds the next read to it, which it can't for a buffer.
   */
  private static final class Rest implements Appendable<Object> {
    private Buffer bytes;

    Rest(Buffer bytes) {
      this.bytes = bytes;
    }

    @Override
    public Object append(Object more) {
      bytes =
          Buffers.appendBuffers(
              MemoryManager.DEFAULT_MEMORY_MANAGER, bytes, UnfinishedRequestFilter.bytes(more));
      return this;
    }
  }
}
