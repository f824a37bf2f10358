package org.corianderweir.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.ConfigurationMessage;
import org.corianderweir.protocol.MembershipMessage;
import org.corianderweir.protocol.PeerMessage;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Sends messages to the other entry instances over TCP, one connection for each direction. A
 * message that can't be sent is dropped: everything built on this repeats itself.
 */
public final class PeerTransport implements Service {
  /** The name of this service. */
  public static final ServiceName<PeerTransport> NAME =
      new ServiceName<>("peers", PeerTransport.class);

  private static final int FRAME_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int WORKER_THREADS = 2;

  private final EntryInstance self;
  private final EventLog events;
  private final TCPNIOTransport transport;
  private final Map<String, Connection<?>> connections = new ConcurrentHashMap<>();
  private final List<Consumer<MembershipMessage>> membershipListeners =
      new CopyOnWriteArrayList<>();
  private final List<Consumer<ConfigurationMessage>> configurationListeners =
      new CopyOnWriteArrayList<>();

  /** Creates a transport that does not listen yet. */
  public PeerTransport(EntryInstance self, EventLog events) {
    this.self = self;
    this.events = events;
    transport = TCPNIOTransportBuilder.newInstance().setTcpNoDelay(true).build();
    transport.setReuseAddress(true);
    transport.setSelectorRunnersCount(1);
    transport.setWorkerThreadPoolConfig(
        ThreadPoolConfig.defaultConfig()
            .setPoolName("peers")
            .setDaemon(true)
            .setCorePoolSize(WORKER_THREADS)
            .setMaxPoolSize(WORKER_THREADS));
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new FrameFilter(FRAME_LIMIT_BYTES))
            .add(new MessageFilter(this::receive, this::refuse))
            .build());
  }

  /** Registers a receiver of membership messages; it is called on a network thread. */
  public void onMembershipMessage(Consumer<MembershipMessage> listener) {
    membershipListeners.add(listener);
  }

  /** Registers a receiver of configuration messages; it is called on a network thread. */
  public void onConfigurationMessage(Consumer<ConfigurationMessage> listener) {
    configurationListeners.add(listener);
  }

  /** Sends a message, opening a connection if there is none. Never blocks. */
  public void send(EntryInstance target, PeerMessage message) {
    Connection<?> connection = connections.get(target.name());
    if (connection != null && connection.isOpen()) {
      write(connection, message);
    } else {
      connectAndSend(target, message);
    }
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(EventLog.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    try {
      transport.bind(self.host(), self.peerPort());
      transport.start();
    } catch (IOException failure) {
      throw new WeirException(
          ErrorCode.CONNECT_FAILED, "can't listen for entry instances", failure);
    }
  }

  @Override
  public void stop() {
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.CONNECT_FAILED, "can't stop the transport", failure);
    }
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  private void connectAndSend(EntryInstance target, PeerMessage message) {
    transport.connect(
        new InetSocketAddress(target.host(), target.peerPort()),
        new InetSocketAddress(self.host(), 0),
        new EmptyCompletionHandler<Connection>() {
          @Override
          public void completed(Connection connection) {
            connections.put(target.name(), connection);
            write(connection, message);
          }
        });
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  private static void write(Connection connection, PeerMessage message) {
    connection.write(message);
  }

  private void receive(Connection<?> connection, PeerMessage message) {
    switch (message) {
      case MembershipMessage membership ->
          membershipListeners.forEach(listener -> listener.accept(membership));
      case ConfigurationMessage configuration ->
          configurationListeners.forEach(listener -> listener.accept(configuration));
    }
  }

  private void refuse(Connection<?> connection, Throwable failure) {
    if (failure instanceof WeirException) {
      events.record(
          EventCode.PEER_FRAME_REFUSED,
          String.valueOf(connection.getPeerAddress()),
          String.valueOf(failure.getMessage()));
    }
  }
}
