package org.corianderweir.daemon.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.corianderweir.daemon.DescriptorPlan;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.Kernel;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.FleetFacts;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.FailureDescription;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.platform.HttpMetadataStore;
import org.corianderweir.platform.PlatformHeaders;
import org.corianderweir.platform.PlatformSchema;
import org.corianderweir.protocol.ServerReportMessage;

/** Creates, starts and stops the services of an entry instance. */
public final class EntryInstanceServices {
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration STORE_CONNECT_TIMEOUT = Duration.ofMillis(1_000);
  private static final Duration STORE_IDLE_LIFETIME = Duration.ofSeconds(20);
  private static final int STORE_RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024;

  /**
   * Time after the recovery of the store within which servers that reach it have written their
   * expired registrations again.
   */
  private static final Duration LEASE_GRACE_PERIOD = Duration.ofMillis(2_300);

  private final MetricRegistry metrics = new MetricRegistry();
  private final MetricsEndpoint metricsEndpoint;
  private final FleetMember self;
  private final EventLog events;
  private final ControlExecutor controlExecutor;
  private final HttpClient storeClient;
  private final StoreWatcher storeWatcher;
  private final MemberRegistration registration;
  private final EntryService entryService;
  private final HttpMetadataStore store;
  private final PlatformSchema schema = new PlatformSchema();
  private final TrafficDirector director;
  private final TimeSource time;
  private final Kernel kernel = new Kernel();
  private Optional<DemandExchange> demandExchange = Optional.empty();
  private Optional<ReportExchange> reportExchange = Optional.empty();
  private Optional<StoreRelay> storeRelay = Optional.empty();
  private final int handshakeLimit;
  private volatile FleetView currentView = FleetView.EMPTY;
  private boolean secretRequested;
  private boolean registered;

  /** Creates the services without starting them. */
  public EntryInstanceServices(EntrySettings settings, TimeSource time) {
    this.time = time;
    self = settings.member(time.wallMilliseconds());
    events = new EventLog(self.name(), time);
    controlExecutor =
        new ControlExecutor(
            failure ->
                events.record(
                    EventCode.CONTROL_TASK_FAILED, "control", FailureDescription.of(failure)));
    storeClient =
        new HttpClient(
            new HttpClientOptions(
                "store", STORE_CONNECT_TIMEOUT, STORE_IDLE_LIFETIME, STORE_RESPONSE_LIMIT_BYTES));
    store =
        new HttpMetadataStore(
            storeClient,
            settings.storeAddress(),
            STORE_TIMEOUT,
            metrics.meter("store.calls")::mark);
    storeWatcher =
        new StoreWatcher(
            store,
            controlExecutor,
            events,
            time,
            self,
            new FleetFacts(schema, LEASE_GRACE_PERIOD),
            this::apply);
    metrics.gauge("store.watching", () -> () -> storeWatcher.isWatching() ? 1 : 0);
    registration = new MemberRegistration(store, schema, controlExecutor, events, self);
    director = new TrafficDirector(self, settings.location(), settings.bounds());
    for (String condition :
        List.of("draining", "leaving", "pausing", "failing", "cold", "healthy")) {
      metrics.gauge(
          "servers." + condition,
          () ->
              () ->
                  director.conditionCounts(time.monotonicNanoseconds()).getOrDefault(condition, 0));
    }
    metrics.gauge("servers.body.bytes", () -> director::bodyBytesInProgress);
    for (String speed : List.of("usual", "slow", "unknown")) {
      metrics.gauge(
          "servers.speed." + speed,
          () -> () -> director.speedCounts(time.monotonicNanoseconds()).getOrDefault(speed, 0));
    }
    WaitingRequests waiting = new WaitingRequests(controlExecutor);
    metrics.gauge("requests.waiting", () -> waiting::count);
    DescriptorPlan descriptors = DescriptorPlan.forLimit(settings.fileDescriptorLimit());
    handshakeLimit = descriptors.handshakes();
    metricsEndpoint =
        new MetricsEndpoint(
            EntryService.controlOptions(
                "metrics",
                new HttpAddress(self.host(), settings.metricsPort()),
                descriptors.metrics(),
                settings),
            metrics,
            new ExplainEndpoint(self, director, storeWatcher::viewAge, time::monotonicNanoseconds),
            () -> FleetListings.of(self, currentView));
    entryService =
        new EntryService(
            settings,
            director,
            PlatformHeaders.NAMES,
            waiting,
            new RequestLog(events, metrics),
            time);
    entryService
        .listeners()
        .forEach(listener -> metricsEndpoint.exportLimits(listener.name(), listener));
  }

  /** Starts all services. */
  public void start() {
    storeClient.start();
    metricsEndpoint.start();
    entryService.start();
    storeWatcher.start();
    record(EventCode.INSTANCE_STARTED);
  }

  /** Stops all services after the requests in flight have ended. */
  public void stopGracefully() throws InterruptedException {
    registration.stop();
    entryService.stopGracefully();
    storeWatcher.stop();
    kernel.stop();
    metricsEndpoint.stop();
    controlExecutor.stop();
    storeClient.stop();
  }

  /** Applies the bounds and the stop time of changed settings. */
  public void reload(EntrySettings settings) {
    director.apply(settings.bounds());
    entryService.setStopTimeout(settings.stopTimeout());
    record(EventCode.SETTINGS_RELOADED);
  }

  /** Records that the settings file is invalid; the previous settings stay in use. */
  public void settingsInvalid(String problem) {
    events.record(EventCode.SETTINGS_INVALID, self.name(), "problem=\"" + problem + "\"");
  }

  /** Records an event that concerns the whole instance. */
  public void record(EventCode code) {
    events.record(code, self.name(), "incarnation=" + self.incarnation());
  }

  private void apply(FleetView view) {
    currentView = view;
    entryService.apply(view);
    registration.observe(view);
    if (view.peerSecret().isEmpty()) {
      if (!secretRequested) {
        secretRequested = true;
        PeerSecret.create(store, schema, events);
      }
    } else if (demandExchange.isEmpty()) {
      connectToPeers(view.peerSecret().get());
    }
    demandExchange.ifPresent(running -> running.apply(view));
    reportExchange.ifPresent(running -> running.apply(view));
    storeRelay.ifPresent(running -> running.apply(view));
    if (!registered && view.index().isPresent()) {
      registered = true;
      registration.start();
    }
  }

  private void connectToPeers(String secret) {
    PeerTransport transport =
        new PeerTransport(
            DemandExchange.toEntryInstance(self),
            self.incarnation(),
            secret,
            events,
            metrics,
            time);
    transport.setHandshakeLimit(handshakeLimit);
    kernel.register(EventLog.NAME, events).register(PeerTransport.NAME, transport);
    kernel.start();
    DemandExchange exchange = new DemandExchange(self, director, transport, controlExecutor, time);
    exchange.start();
    demandExchange = Optional.of(exchange);
    ReportExchange reports =
        new ReportExchange(self, director, transport::send, events, metrics, time);
    transport.onMessage(
        ServerReportMessage.class,
        received ->
            controlExecutor.execute(
                () -> reports.receive(received.sender().name(), received.message())));
    controlExecutor.scheduleWithFixedDelay(ReportExchange.INTERVAL, reports::exchange);
    reportExchange = Optional.of(reports);
    StoreRelay relay = new StoreRelay(self, transport, controlExecutor, storeWatcher);
    storeWatcher.connect(relay);
    storeRelay = Optional.of(relay);
  }
}
