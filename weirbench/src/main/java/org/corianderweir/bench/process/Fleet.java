package org.corianderweir.bench.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.corianderweir.bench.BenchMain;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.backend.JournalFile;
import org.corianderweir.bench.backend.ServerSpecification;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.network.NetworkConditions;
import org.corianderweir.bench.network.NetworkRelay;
import org.corianderweir.bench.network.RelayTarget;
import org.corianderweir.daemon.DaemonMain;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.topology.EntryInstance;

/**
 * The processes of a run: the platform stand-in, the entry instances, and the backend servers in
 * one process for each availability zone or in one for all. Optionally, they are connected through
 * the relays of the test bench.
 */
public final class Fleet implements AutoCloseable {
  private static final double COLD_SLOWDOWN_FACTOR = 3;
  private static final long CONNECTION_COST_NANOSECONDS = 1_000_000;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
  private static final String SERVERS_PROCESS = "servers";

  /** Name of the location of callers and operators, which are in no availability zone. */
  public static final String EXTERNAL_LOCATION = "outside";

  private final DeploymentLayout layout;
  private final Options options;
  private final ChildProcesses processes;
  private final NetworkConditions networkConditions = new NetworkConditions();
  private final NetworkRelay relay;
  private final FleetClient client = new FleetClient();

  /**
   * Options of a fleet.
   *
   * @param directory directory for settings, journals and logs
   * @param useRelays whether the processes are connected through relays
   * @param serverProcessPerZone whether the backend servers of each zone have their own process
   * @param coldDuration time during which a backend server is slow after its start
   */
  public record Options(
      Path directory, boolean useRelays, boolean serverProcessPerZone, Duration coldDuration) {}

  /** Prepares a fleet without starting any process. */
  public Fleet(DeploymentLayout layout, Options options) {
    this.layout = layout;
    this.options = options;
    processes = new ChildProcesses(options.directory().toFile());
    relay = new NetworkRelay(networkConditions, this::zoneOfHost);
  }

  /** Starts all processes and relays without waiting until they are ready. */
  public void start() {
    client.start();
    HttpAddress platform = layout.platform();
    processes.start(
        "platform",
        BenchMain.class,
        List.of(
            "platform", "--host", platform.host(), "--port", Integer.toString(platform.port())));
    startServers();
    if (options.useRelays()) {
      startRelays();
    }
    for (EntryInstance instance : layout.entryInstances()) {
      startInstance(instance);
    }
  }

  /** Starts the process of an entry instance. */
  public void startInstance(EntryInstance instance) {
    HttpAddress platform =
        options.useRelays() ? layout.relayOf(layout.platform()) : layout.platform();
    Path settings =
        SettingsFile.write(
            options.directory(),
            advertised(instance),
            instance,
            platform,
            FleetClient.OPERATOR_CREDENTIAL);
    processes.start(instance.name(), DaemonMain.class, List.of("--settings", settings.toString()));
  }

  /** Returns the layout of the deployment with all addresses. */
  public DeploymentLayout layout() {
    return layout;
  }

  /** Returns the client that calls the processes. */
  public FleetClient client() {
    return client;
  }

  /** Returns the processes that were started. */
  public ChildProcesses processes() {
    return processes;
  }

  /** Returns the simulated network conditions between the zones. */
  public NetworkConditions networkConditions() {
    return networkConditions;
  }

  /**
   * Closes connections to a backend server after the given number of response bytes. Has no effect
   * without relays.
   */
  public void truncateResponses(BackendServer server, long limitBytes) {
    relay.truncateResponses(
        layout.relayOf(new HttpAddress(server.host(), server.port())), limitBytes);
  }

  /** Returns the name of the process that runs a zone's backend servers. */
  public String serverProcess(String zone) {
    return options.serverProcessPerZone() ? SERVERS_PROCESS + "-" + zone : SERVERS_PROCESS;
  }

  /** Puts all entry instances on the platform's list; returns whether the platform accepted it. */
  public boolean publishInstances() {
    List<ListedInstance> listed =
        advertisedInstances().stream()
            .map(instance -> new ListedInstance(instance, false))
            .toList();
    return client.publishInstances(layout.platform(), listed);
  }

  /** Returns the entry instances with the addresses at which callers and peers reach them. */
  public List<EntryInstance> advertisedInstances() {
    return layout.entryInstances().stream().map(this::advertised).toList();
  }

  /** Returns the backend servers with the addresses at which entry instances reach them. */
  public List<BackendServer> advertisedServers() {
    return layout.backendServers().stream().map(this::advertised).toList();
  }

  @Override
  public void close() {
    processes.close();
    relay.close();
    client.close();
  }

  private void startServers() {
    if (!options.serverProcessPerZone()) {
      startServers(SERVERS_PROCESS, server -> true);
      return;
    }
    for (Deployment.Zone zone : layout.deployment().zones()) {
      startServers(
          serverProcess(zone.name()), server -> server.availabilityZone().equals(zone.name()));
    }
  }

  private void startServers(String process, Predicate<BackendServer> filter) {
    List<String> arguments =
        new ArrayList<>(List.of("backend", "--journal", journalFile(process).toString()));
    for (BackendServer server : layout.backendServers()) {
      if (filter.test(server)) {
        arguments.add("--server");
        arguments.add(serverSpecification(server).toArgument());
      }
    }
    processes.start(process, BenchMain.class, arguments);
  }

  private Path journalFile(String process) {
    return options.directory().resolve(process + ".journal");
  }

  /** Returns the requests that reached the backend servers, including servers that were killed. */
  public List<JournalEntry> journal() {
    return layout.deployment().zones().stream()
        .map(zone -> serverProcess(zone.name()))
        .distinct()
        .flatMap(process -> JournalFile.read(journalFile(process)).stream())
        .toList();
  }

  private ServerSpecification serverSpecification(BackendServer server) {
    long milliseconds = layout.service(server.service()).serviceMilliseconds();
    return new ServerSpecification(
        server.name(),
        server.host(),
        server.port(),
        server.slots(),
        Duration.ofMillis(milliseconds),
        options.coldDuration(),
        COLD_SLOWDOWN_FACTOR);
  }

  private void startRelays() {
    setLatencies();
    relay.start();
    HttpAddress platform = layout.platform();
    relay.add(RelayTarget.unlimited(layout.relayOf(platform), platform, platformLocation()));
    for (BackendServer server : layout.backendServers()) {
      HttpAddress address = new HttpAddress(server.host(), server.port());
      relay.add(
          new RelayTarget(
              layout.relayOf(address),
              address,
              server.availabilityZone(),
              server.connectionLimit(),
              CONNECTION_COST_NANOSECONDS));
    }
    for (EntryInstance instance : layout.entryInstances()) {
      relayInstance(instance, instance.callerPort());
      relayInstance(instance, instance.peerPort());
    }
  }

  private void relayInstance(EntryInstance instance, int port) {
    HttpAddress address = new HttpAddress(instance.host(), port);
    relay.add(RelayTarget.unlimited(layout.relayOf(address), address, instance.availabilityZone()));
  }

  private void setLatencies() {
    for (Deployment.Zone from : layout.deployment().zones()) {
      for (Deployment.Zone to : layout.deployment().zones()) {
        networkConditions.setDelay(
            new NetworkConditions.Direction(from.name(), to.name()), latency(from, to));
      }
      Deployment.Zone storeZone = layout.zone(layout.deployment().storeZone());
      String platform = platformLocation();
      networkConditions.setDelay(
          new NetworkConditions.Direction(from.name(), platform), latency(from, storeZone));
      networkConditions.setDelay(
          new NetworkConditions.Direction(platform, from.name()), latency(storeZone, from));
    }
  }

  /** Returns the name of the platform's location in the simulated network. */
  public String platformLocation() {
    return layout.deployment().storeZone() + "-platform";
  }

  private long latency(Deployment.Zone from, Deployment.Zone to) {
    Deployment.Latency latency = layout.deployment().latency();
    if (from.name().equals(to.name())) {
      return 0;
    }
    double milliseconds =
        from.region().equals(to.region()) ? latency.betweenZones() : latency.betweenRegions();
    return (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
  }

  private String zoneOfHost(String host) {
    String prefix = host.substring(0, host.lastIndexOf('.'));
    return layout.deployment().zones().stream()
        .filter(zone -> zone.prefix().equals(prefix))
        .map(Deployment.Zone::name)
        .findFirst()
        .orElse(EXTERNAL_LOCATION);
  }

  private EntryInstance advertised(EntryInstance instance) {
    if (!options.useRelays()) {
      return instance;
    }
    HttpAddress callers = layout.relayOf(new HttpAddress(instance.host(), instance.callerPort()));
    HttpAddress peers = layout.relayOf(new HttpAddress(instance.host(), instance.peerPort()));
    return new EntryInstance(
        instance.name(),
        instance.region(),
        instance.availabilityZone(),
        instance.host(),
        callers.port(),
        instance.operatorPort(),
        peers.port());
  }

  private BackendServer advertised(BackendServer server) {
    if (!options.useRelays()) {
      return server;
    }
    HttpAddress relayed = layout.relayOf(new HttpAddress(server.host(), server.port()));
    return new BackendServer(
        server.name(),
        server.service(),
        server.availabilityZone(),
        relayed.host(),
        relayed.port(),
        server.slots(),
        server.connectionLimit(),
        server.drained(),
        server.labels());
  }
}
