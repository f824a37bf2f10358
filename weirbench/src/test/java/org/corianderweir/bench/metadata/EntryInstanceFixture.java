package org.corianderweir.bench.metadata;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.entry.EntryInstanceServices;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.daemon.settings.UnfinishedLimitSettings;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.model.traffic.InstanceLocation;

/** A whole entry instance that is ready, its store, two servers, and a client for callers. */
final class EntryInstanceFixture implements AutoCloseable {
  static final String HOST = "127.0.0.1";
  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
  private static final int STATUS_OK = 200;
  private static final int RESPONSE_LIMIT_BYTES = 1024 * 1024;

  private final MetadataStoreStandIn store = new MetadataStoreStandIn(HOST, 0);
  private final ServerStandIn first = new ServerStandIn("server-1", HOST, 0);
  private final ServerStandIn second = new ServerStandIn("server-2", HOST, 0);
  private final HttpClient caller =
      new HttpClient(
          new HttpClientOptions("caller", REQUEST_TIMEOUT, REQUEST_TIMEOUT, RESPONSE_LIMIT_BYTES));
  private final EntrySettings settings;
  private final EntryInstanceServices instance;

  EntryInstanceFixture(TimeSource time) throws Exception {
    store.start();
    first.start();
    second.start();
    store.put("op/config", StoreValues.configuration(1, 1_000));
    store.put("servers/server-1", registration(first, "ready"));
    store.put("servers/server-2", registration(second, "ready"));
    settings = newSettings("entry-1");
    instance = new EntryInstanceServices(settings, time);
    instance.start();
    caller.start();
    await(() -> isReady(settings));
    await(() -> store.keys("corianderweir/members/").size() == 1);
  }

  /** Changes the stop time of the instance, as SIGHUP does after a change of the settings file. */
  void reloadStopTimeout(Duration stopTimeout) {
    instance.reload(
        new EntrySettings(
            settings.name(),
            settings.location(),
            settings.callerAddress(),
            settings.readinessAddress(),
            settings.lookupAddress(),
            settings.peerPort(),
            settings.metricsPort(),
            settings.storeAddress(),
            settings.lookupLifetime(),
            stopTimeout,
            settings.heartbeatInterval(),
            settings.fileDescriptorLimit(),
            settings.processorCapacity(),
            settings.unfinishedLimits(),
            settings.bounds()));
  }

  private EntrySettings newSettings(String name) throws Exception {
    return new EntrySettings(
        name,
        new InstanceLocation("north-a", "north", Map.of("north-a", "north")),
        freeAddress(),
        freeAddress(),
        freeAddress(),
        freeAddress().port(),
        freeAddress().port(),
        new HttpAddress(HOST, store.port()),
        Duration.ofSeconds(5),
        Duration.ofSeconds(4),
        Duration.ofMillis(1_500),
        1_000,
        1,
        UnfinishedLimitSettings.DEFAULT,
        new FleetBounds(0.2, 1_000, Duration.ofSeconds(10), 0.1, 20, Duration.ofSeconds(5)));
  }

  private boolean isReady(EntrySettings of) {
    return status(of.readinessAddress(), "/api/readiness") == STATUS_OK;
  }

  /** Starts another instance, which reads the items that are in the store now. */
  Newcomer startAnother() throws Exception {
    return startAnother("entry-2", new SystemTimeSource());
  }

  /** Starts another instance with a name and a source of time. */
  Newcomer startAnother(String name, TimeSource time) throws Exception {
    return new Newcomer(newSettings(name), time);
  }

  /** An instance that started later than the first one. */
  final class Newcomer implements AutoCloseable {
    private final EntrySettings newcomerSettings;
    private final EntryInstanceServices services;

    private Newcomer(EntrySettings newcomerSettings, TimeSource time) {
      this.newcomerSettings = newcomerSettings;
      services = new EntryInstanceServices(newcomerSettings, time);
      services.start();
    }

    void awaitReady() throws InterruptedException {
      await(() -> isReady(newcomerSettings));
    }

    EntrySettings settings() {
      return newcomerSettings;
    }

    @Override
    public void close() throws InterruptedException {
      services.stopGracefully();
    }
  }

  @Override
  public void close() throws Exception {
    caller.stop();
    instance.stopGracefully();
    first.stop();
    second.stop();
    store.stop();
  }

  MetadataStoreStandIn store() {
    return store;
  }

  ServerStandIn first() {
    return first;
  }

  ServerStandIn second() {
    return second;
  }

  List<ServerStandIn> servers() {
    return List.of(first, second);
  }

  HttpClient caller() {
    return caller;
  }

  EntrySettings settings() {
    return settings;
  }

  /** Writes a request of an organisation with a key, without a body, to a caller's connection. */
  static void send(Socket socket, String requestLine, String identifier) throws IOException {
    send(socket, requestLine, identifier, "4000");
  }

  /** Writes a request with a deadline in milliseconds. */
  static void send(
      Socket socket, String requestLine, String identifier, String deadlineMilliseconds)
      throws IOException {
    String head =
        requestLine
            + " HTTP/1.1\r\nHost: rota.example\r\nX-Api-Key: key-1\r\nDeadline-Ms: "
            + deadlineMilliseconds
            + "\r\nContent-Length: 0\r\nRequest-Id: "
            + identifier
            + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the status of the answer to a GET request, or 0 if there is none. */
  private int status(HttpAddress address, String path) {
    try {
      return caller
          .exchange(address, HttpRequest.of("GET", path), REQUEST_TIMEOUT)
          .get(REQUEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
          .status();
    } catch (Exception failure) {
      return 0;
    }
  }

  static String registration(ServerStandIn server, String state) {
    return StoreValues.server(HOST + ":" + server.port(), "north-a", state);
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      if (condition.getAsBoolean()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new AssertionError("did not happen");
  }

  private static HttpAddress freeAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new HttpAddress(HOST, socket.getLocalPort());
    }
  }
}
