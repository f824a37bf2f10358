package org.corianderweir.daemon;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.ConfigurationStore;
import org.corianderweir.daemon.control.ControlService;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.LimitService;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.operator.OperatorContext;
import org.corianderweir.daemon.operator.OperatorService;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.platform.HttpPlatformService;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.steering.SteeringService;
import org.corianderweir.daemon.traffic.TrafficService;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.kernel.Kernel;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;

/** Creates the services of a standalone entry instance and runs them until a planned stop. */
public final class Daemon {
  private static final Duration PLATFORM_CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration PLATFORM_IDLE_TIMEOUT = Duration.ofSeconds(20);
  private static final int PLATFORM_RESPONSE_LIMIT_BYTES = 2 * 1024 * 1024;

  private final EntryInstance self;
  private final EventLog events;
  private final HttpClient platformClient;
  private final MembershipService membership;
  private final Kernel kernel = new Kernel();
  private final CountDownLatch stopRequested = new CountDownLatch(1);

  /** Creates the services without starting them. */
  public Daemon(DaemonSettings settings, TimeSource time) {
    self = settings.instance();
    long incarnation = time.wallMilliseconds();
    events = new EventLog(self.name(), time);
    MetricRegistry metrics = new MetricRegistry();
    platformClient =
        new HttpClient(
            new HttpClientOptions(
                    "platform",
                    PLATFORM_CONNECT_TIMEOUT,
                    PLATFORM_IDLE_TIMEOUT,
                    PLATFORM_RESPONSE_LIMIT_BYTES)
                .withLocalHost(self.host()));
    HttpPlatformService platform =
        new HttpPlatformService(
            platformClient, settings.platformAddress(), metrics.meter("platform.calls"));
    ControlService control = new ControlService(events);
    ConfigurationService configuration =
        new ConfigurationService(new ConfigurationStore(platform), events, time);
    PeerTransport transport =
        new PeerTransport(
            self,
            settings.listenPorts().peers(),
            incarnation,
            settings.peerSecret(),
            events,
            metrics,
            time);
    membership =
        new MembershipService(
            self,
            incarnation,
            platform,
            control.executor(),
            events,
            configuration,
            transport,
            time);
    LimitService limits =
        LimitService.builder()
            .withSelf(self, incarnation)
            .withPlatform(platform)
            .withControlExecutor(control.executor())
            .withEvents(events)
            .withConfiguration(configuration)
            .withMembership(membership)
            .withTransport(transport)
            .withTime(time)
            .build();
    SteeringService steering =
        new SteeringService(self.region(), configuration, control.executor(), events, time);
    TrafficService traffic =
        new TrafficService(
            settings, configuration, membership, limits, steering, events, metrics, time);
    OperatorService operators =
        new OperatorService(
            new OperatorContext(
                settings,
                configuration,
                membership,
                steering,
                events,
                metrics,
                time,
                traffic::drains,
                traffic::explain,
                stopRequested::countDown));
    kernel
        .register(EventLog.NAME, events)
        .register(ControlService.NAME, control)
        .register(ConfigurationService.NAME, configuration)
        .register(PeerTransport.NAME, transport)
        .register(MembershipService.NAME, membership)
        .register(LimitService.NAME, limits)
        .register(SteeringService.NAME, steering)
        .register(OperatorService.NAME, operators)
        .register(TrafficService.NAME, traffic);
  }

  /** Starts the services and returns after a planned stop. */
  public void run() {
    StopSignals.handle(stopRequested::countDown);
    platformClient.start();
    kernel.start();
    events.record(EventCode.INSTANCE_STARTED, self.name(), "host=" + self.host());
    try {
      stopRequested.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    membership.leave();
    kernel.stop();
    platformClient.stop();
    events.record(EventCode.INSTANCE_STOPPED, self.name(), "");
  }
}
