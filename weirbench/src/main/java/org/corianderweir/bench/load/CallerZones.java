package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.topology.EntryInstance;

/** The callers of all availability zones. Each zone has an HTTP client of its own. */
public final class CallerZones implements RequestSender, AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
  private static final int RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024;
  private static final String CLIENT_ADDRESS_SUFFIX = ".20";

  private final Map<String, RequestSender> senders = new HashMap<>();
  private final List<HttpClient> clients = new ArrayList<>();

  private CallerZones() {}

  /**
   * Creates callers that send their requests through entry instances.
   *
   * @param knownInstances entry instances that callers can ask for look-ups
   */
  public static CallerZones steered(
      DeploymentLayout layout,
      List<EntryInstance> knownInstances,
      long seed,
      CallerKeys keys,
      CallJournal journal) {
    CallerZones callers = new CallerZones();
    for (Deployment.Zone zone : layout.deployment().zones()) {
      HttpClient client = callers.createClient(layout, zone);
      callers.senders.put(
          zone.name(),
          new SteeredSender(
              client,
              zone.name(),
              zone.prefix() + CLIENT_ADDRESS_SUFFIX,
              nearestFirst(knownInstances, zone),
              "call-" + seed + "-" + zone.name(),
              keys,
              journal));
    }
    return callers;
  }

  /** Creates callers that bypass the entry instances and choose random backend servers. */
  public static CallerZones direct(
      DeploymentLayout layout, List<BackendServer> servers, long seed, CallJournal journal) {
    CallerZones callers = new CallerZones();
    SplittableRandom random = new SplittableRandom(seed);
    for (Deployment.Zone zone : layout.deployment().zones()) {
      HttpClient client = callers.createClient(layout, zone);
      String prefix = "call-" + seed + "-" + zone.name();
      callers.senders.put(
          zone.name(), new DirectSender(client, servers, prefix, journal, random.split()));
    }
    return callers;
  }

  @Override
  public void send(Arrival arrival, long intendedNanoseconds) {
    Objects.requireNonNull(senders.get(arrival.zone())).send(arrival, intendedNanoseconds);
  }

  @Override
  public int pending() {
    return senders.values().stream().mapToInt(RequestSender::pending).sum();
  }

  @Override
  public void close() {
    clients.forEach(HttpClient::stop);
  }

  private HttpClient createClient(DeploymentLayout layout, Deployment.Zone zone) {
    HttpClient client =
        new HttpClient(
            new HttpClientOptions(
                    "callers-" + zone.name(), CONNECT_TIMEOUT, IDLE_TIMEOUT, RESPONSE_LIMIT_BYTES)
                .withLocalHost(layout.callerHost(zone)));
    client.start();
    clients.add(client);
    return client;
  }

  private static List<EntryInstance> nearestFirst(
      List<EntryInstance> instances, Deployment.Zone zone) {
    return instances.stream()
        .sorted(Comparator.comparingInt(instance -> distance(instance, zone)))
        .toList();
  }

  private static int distance(EntryInstance instance, Deployment.Zone zone) {
    if (instance.availabilityZone().equals(zone.name())) {
      return 0;
    }
    return instance.region().equals(zone.region()) ? 1 : 2;
  }
}
