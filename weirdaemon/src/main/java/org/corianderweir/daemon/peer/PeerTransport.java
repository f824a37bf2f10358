package org.corianderweir.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.http.TransportMemory;
import org.corianderweir.kernel.GuardedTask;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.handshake.InitiatorHandshake;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.logic.handshake.ResponderHandshake;
import org.corianderweir.logic.handshake.SharedSecret;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.FailureDescription;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.PeerMessage;
import org.corianderweir.protocol.PeerMessageCodec;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Sends messages to other entry instances over TCP, with one authenticated connection for each
 * direction. A message that can't be sent is dropped, because all protocols that use this transport
 * resend their messages. Thread-safe.
 */
public final class PeerTransport implements Service {
  /** The name of this service. */
  public static final ServiceName<PeerTransport> NAME =
      new ServiceName<>("peers", PeerTransport.class);

  private static final int WORKER_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
  private static final Duration SWEEP_PERIOD = Duration.ofMillis(500);
  private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final EntryInstance self;
  private final int listenPort;
  private final PeerIdentity identity;
  private final SharedSecret secret;
  private final EventLog events;
  private final MetricRegistry metrics;
  private final TimeSource time;
  private final SecureRandom random = new SecureRandom();
  private final TCPNIOTransport transport;
  private final PeerSessions sessions = new PeerSessions();
  private final Map<EntryInstance, PeerLink> links = new ConcurrentHashMap<>();
  private final List<Registration<?>> registrations = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService sweeper =
      Executors.newSingleThreadScheduledExecutor(
          task -> Thread.ofPlatform().daemon().name("peer-sweeper").unstarted(task));

  /** Creates a transport that will listen on the advertised port of the entry instance. */
  public PeerTransport(
      EntryInstance self,
      long incarnation,
      String secret,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this(self, self.peerPort(), incarnation, secret, events, metrics, time);
  }

  /**
   * Creates a transport that does not listen yet.
   *
   * @param listenPort TCP port to listen on, to which the advertised port is forwarded
   */
  public PeerTransport(
      EntryInstance self,
      int listenPort,
      long incarnation,
      String secret,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.self = self;
    this.listenPort = listenPort;
    this.identity = new PeerIdentity(self.name(), incarnation);
    this.secret = new SharedSecret(secret);
    this.events = events;
    this.metrics = metrics;
    this.time = time;
    transport = TCPNIOTransportBuilder.newInstance().setTcpNoDelay(true).build();
    TransportMemory.configure(transport);
    transport.setReuseAddress(true);
    transport.setConnectionTimeout(CONNECT_TIMEOUT_MILLISECONDS);
    transport.setSelectorRunnersCount(1);
    transport.setWorkerThreadPoolConfig(
        ThreadPoolConfig.defaultConfig()
            .setPoolName("peers")
            .setDaemon(true)
            .setCorePoolSize(WORKER_THREADS)
            .setMaxPoolSize(WORKER_THREADS));
    PeerFilter peerFilter = new PeerFilter(sessions, new ConnectionListener());
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new FrameFilter(sessions::frameLimitBytes, peerFilter::refuse))
            .add(peerFilter)
            .build());
  }

  /** Sets how many handshakes may be in progress; further connections are closed at once. */
  public void setHandshakeLimit(int limit) {
    sessions.setHalfOpenLimit(limit);
  }

  private record Registration<T extends PeerMessage>(
      Class<T> type, Consumer<ReceivedMessage<T>> listener) {
    void deliverIfMatching(PeerIdentity sender, PeerMessage message) {
      if (type.isInstance(message)) {
        listener.accept(new ReceivedMessage<>(sender, type.cast(message)));
      }
    }
  }

  /** Registers a listener for one type of messages; it is called on a network thread. */
  public <T extends PeerMessage> void onMessage(
      Class<T> type, Consumer<ReceivedMessage<T>> listener) {
    registrations.add(new Registration<>(type, listener));
  }

  /** Sends a message and opens a connection if there is none. Never blocks. */
  public void send(EntryInstance target, PeerMessage message) {
    send(List.of(target), message);
  }

  /** Sends the same message to several instances, and encodes it only once. Never blocks. */
  public void send(Collection<EntryInstance> targets, PeerMessage message) {
    if (!targets.isEmpty()) {
      byte[] frame = PeerMessageCodec.encode(message);
      targets.forEach(target -> sendFrame(target, frame));
    }
  }

  private void sendFrame(EntryInstance target, byte[] frame) {
    if (frame.length > PeerSessions.FRAME_LIMIT_BYTES) {
      metrics.meter("peers.dropped").mark();
      return;
    }
    PeerLink link = links.computeIfAbsent(target, unused -> new PeerLink());
    PeerLink.Outcome outcome = link.send(frame, time.monotonicNanoseconds());
    if (outcome == PeerLink.Outcome.DROPPED) {
      metrics.meter("peers.dropped").mark();
      return;
    }
    metrics.meter("peers.sent-frames").mark();
    metrics.meter("peers.sent-bytes").mark(frame.length);
    if (outcome == PeerLink.Outcome.ACCEPTED_AND_CONNECT) {
      connect(target, link);
    }
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(EventLog.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    try {
      transport.bind(self.host(), listenPort);
      transport.start();
    } catch (IOException failure) {
      throw new WeirException(
          ErrorCode.CONNECT_FAILED, "can't listen for entry instances", failure);
    }
    long period = SWEEP_PERIOD.toMillis();
    sweeper.scheduleWithFixedDelay(
        new GuardedTask(
            this::closeStaleConnections,
            failure ->
                events.record(
                    EventCode.CONTROL_TASK_FAILED, "peer-sweeper", FailureDescription.of(failure))),
        period,
        period,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    sweeper.shutdownNow();
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.CONNECT_FAILED, "can't stop the transport", failure);
    }
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  private void connect(EntryInstance target, PeerLink link) {
    transport.connect(
        new InetSocketAddress(target.host(), target.peerPort()),
        new InetSocketAddress(self.host(), 0),
        new EmptyCompletionHandler<Connection>() {
          @Override
          public void completed(Connection connection) {
            startHandshake(target, link, connection);
          }

          @Override
          public void failed(Throwable failure) {
            link.failed();
          }

          @Override
          public void cancelled() {
            link.failed();
          }
        });
  }

  private void startHandshake(EntryInstance target, PeerLink link, Connection<?> connection) {
    InitiatorHandshake handshake = new InitiatorHandshake(identity, target.name(), secret, random);
    PeerSession session =
        new PeerSession(
            connection,
            handshake::receive,
            () -> link.authenticated(connection),
            time.monotonicNanoseconds());
    link.connected(connection);
    connection.addCloseListener((closed, type) -> link.failed());
    if (sessions.add(session)) {
      session.send(handshake.hello());
    } else {
      connection.closeSilently();
    }
  }

  private void closeStaleConnections() {
    long nowNanoseconds = time.monotonicNanoseconds();
    int closed = sessions.closeHalfOpen(HANDSHAKE_TIMEOUT.toNanos(), nowNanoseconds);
    if (closed > 0) {
      events.record(EventCode.PEER_HANDSHAKE_REFUSED, self.name(), closed + " were too slow");
    }
    links
        .entrySet()
        .removeIf(
            entry -> {
              boolean idle =
                  entry.getValue().isIdleLongerThan(IDLE_TIMEOUT.toNanos(), nowNanoseconds);
              if (idle) {
                entry.getValue().connection().ifPresent(Connection::closeSilently);
              }
              return idle;
            });
  }

  /** Starts the handshake of accepted connections and delivers messages of authenticated peers. */
  private final class ConnectionListener implements PeerFilter.Listener {
    @Override
    public void accepted(Connection<?> connection) {
      ResponderHandshake handshake = new ResponderHandshake(identity, secret, random);
      PeerSession session =
          new PeerSession(connection, handshake::receive, () -> {}, time.monotonicNanoseconds());
      if (!sessions.add(session)) {
        metrics.meter("peers.refused-connections").mark();
        connection.closeSilently();
      }
    }

    @Override
    public void received(PeerIdentity sender, PeerMessage message) {
      registrations.forEach(registration -> registration.deliverIfMatching(sender, message));
    }

    @Override
    public void refused(Connection<?> connection, String reason) {
      boolean authenticated = sessions.find(connection).flatMap(PeerSession::peer).isPresent();
      EventCode code =
          authenticated ? EventCode.PEER_FRAME_REFUSED : EventCode.PEER_HANDSHAKE_REFUSED;
      events.record(code, String.valueOf(connection.getPeerAddress()), reason);
    }
  }
}
