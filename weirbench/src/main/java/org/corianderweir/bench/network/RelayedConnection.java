package org.corianderweir.bench.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** A connection through a relay: two sockets and two pipes. Used by the relay's thread alone. */
final class RelayedConnection {
  private static final long CHECK_MILLISECONDS = 50;

  private final RelayLoop loop;
  private final SocketChannel client;
  private final SocketChannel server;
  private final RelayPipe requests;
  private final RelayPipe answers;
  private final RelayTarget target;
  private final Listener listener;
  private boolean connected;
  private boolean closed;

  /** Is told what becomes of a connection. */
  interface Listener {
    /** The server could not be reached. */
    void unreachable();

    /** The connection is closed. */
    void closed(RelayedConnection connection);
  }

  RelayedConnection(
      RelayLoop loop,
      SocketChannel client,
      RelayTarget target,
      String sourceZone,
      NetworkRules rules,
      long answerBytesLimit,
      Listener listener)
      throws IOException {
    this.loop = loop;
    this.client = client;
    this.target = target;
    this.listener = listener;
    server = SocketChannel.open();
    server.configureBlocking(false);
    server.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
    var there = new NetworkRules.Direction(sourceZone, target.zone());
    var back = new NetworkRules.Direction(target.zone(), sourceZone);
    requests = new RelayPipe(loop, client, server, rules, there, Long.MAX_VALUE, this::close);
    answers = new RelayPipe(loop, server, client, rules, back, answerBytesLimit, this::close);
  }

  /** Connects to the server. */
  void open() {
    try {
      RelayLoop.ReadyHandler handler = this::ready;
      server.register(loop.selector(), SelectionKey.OP_CONNECT, handler);
      server.connect(new InetSocketAddress(target.server().host(), target.server().port()));
    } catch (IOException failure) {
      listener.unreachable();
      close();
    }
  }

  /** Closes both sockets, so that both sides see a broken connection. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    closeSocket(client);
    closeSocket(server);
    listener.closed(this);
  }

  private void ready(SelectionKey key) {
    try {
      if (key.isConnectable()) {
        server.finishConnect();
        connected = true;
        RelayLoop.ReadyHandler handler = this::ready;
        client.register(loop.selector(), SelectionKey.OP_READ, handler);
        key.interestOps(SelectionKey.OP_READ);
        watchInterests();
        return;
      }
      if (key.isReadable()) {
        pipeFrom(key).read();
      }
      updateInterests();
    } catch (IOException gone) {
      if (!connected) {
        listener.unreachable();
      }
      close();
    }
  }

  private RelayPipe pipeFrom(SelectionKey key) {
    return key.channel() == client ? requests : answers;
  }

  /** A blocked or full pipe is not read; whether it is read again is checked now and then. */
  private void watchInterests() {
    if (closed) {
      return;
    }
    updateInterests();
    loop.after(CHECK_MILLISECONDS, this::watchInterests);
  }

  private void updateInterests() {
    if (closed) {
      return;
    }
    if (requests.finished() && answers.finished()) {
      close();
      return;
    }
    setRead(client, requests.wantsRead());
    setRead(server, answers.wantsRead());
  }

  private void setRead(SocketChannel channel, boolean wanted) {
    SelectionKey key = channel.keyFor(loop.selector());
    if (key != null && key.isValid()) {
      key.interestOps(wanted ? SelectionKey.OP_READ : 0);
    }
  }

  private static void closeSocket(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException alreadyGone) {
      // Nothing is left to close.
    }
  }
}
