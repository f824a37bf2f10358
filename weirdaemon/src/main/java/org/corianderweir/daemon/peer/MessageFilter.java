package org.corianderweir.daemon.peer;

import java.util.function.BiConsumer;
import org.corianderweir.protocol.PeerMessage;
import org.corianderweir.protocol.PeerMessageCodec;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Decodes frames to messages; a frame that can't be decoded closes its connection. */
final class MessageFilter extends BaseFilter {
  private final BiConsumer<Connection<?>, PeerMessage> receiver;
  private final BiConsumer<Connection<?>, Throwable> failures;

  MessageFilter(
      BiConsumer<Connection<?>, PeerMessage> receiver,
      BiConsumer<Connection<?>, Throwable> failures) {
    this.receiver = receiver;
    this.failures = failures;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    byte[] payload = context.getMessage();
    receiver.accept(context.getConnection(), PeerMessageCodec.decode(payload));
    return context.getStopAction();
  }

  @Override
  public NextAction handleWrite(FilterChainContext context) {
    PeerMessage message = context.getMessage();
    context.setMessage(PeerMessageCodec.encode(message));
    return context.getInvokeAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable failure) {
    failures.accept(context.getConnection(), failure);
    context.getConnection().closeSilently();
  }
}
