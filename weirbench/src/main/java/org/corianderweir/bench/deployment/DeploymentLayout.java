package org.corianderweir.bench.deployment;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.topology.EntryInstance;

/**
 * Assigns addresses to the processes of a deployment. All hosts use the same few ports and are told
 * apart by the third and fourth octet of their IP addresses.
 *
 * @param deployment deployment that gets the addresses
 * @param firstPort first TCP port that is used
 */
public record DeploymentLayout(Deployment deployment, int firstPort) {
  private static final int FIRST_SERVER_HOST_NUMBER = 100;
  private static final String PLATFORM_ADDRESS_SUFFIX = ".250";
  private static final String CALLER_ADDRESS_SUFFIX = ".240";
  private static final int OPERATOR_PORT_OFFSET = 1;
  private static final int PEER_PORT_OFFSET = 2;
  private static final int RELAY_PORT_OFFSET = 5;

  /** Returns the entry instances, ordered by zone. */
  public List<EntryInstance> entryInstances() {
    List<EntryInstance> instances = new ArrayList<>();
    for (Deployment.Zone zone : deployment.zones()) {
      for (int number = 1; number <= zone.entryInstances(); number++) {
        instances.add(
            new EntryInstance(
                "entry-" + zone.name() + "-" + number,
                zone.region(),
                zone.name(),
                zone.prefix() + "." + number,
                firstPort,
                firstPort + OPERATOR_PORT_OFFSET,
                firstPort + PEER_PORT_OFFSET));
      }
    }
    return instances;
  }

  /** Returns the backend servers with the addresses on which their stand-ins listen. */
  public List<BackendServer> backendServers() {
    List<BackendServer> servers = new ArrayList<>();
    int[] serversInZone = new int[deployment.zones().size()];
    for (Deployment.ServiceSpecification service : deployment.services()) {
      for (int number = 0; number < service.servers(); number++) {
        int zoneIndex = number % deployment.zones().size();
        Deployment.Zone zone = deployment.zones().get(zoneIndex);
        String host = zone.prefix() + "." + (FIRST_SERVER_HOST_NUMBER + serversInZone[zoneIndex]);
        serversInZone[zoneIndex]++;
        servers.add(
            new BackendServer(
                service.name() + "-" + (number + 1),
                service.name(),
                zone.name(),
                host,
                firstPort,
                service.slots(),
                service.connectionLimit(),
                false,
                List.of()));
      }
    }
    return servers;
  }

  /** Returns the address of the platform's service. */
  public HttpAddress platform() {
    String prefix = zone(deployment.storeZone()).prefix();
    return new HttpAddress(prefix + PLATFORM_ADDRESS_SUFFIX, firstPort);
  }

  /** Returns the IP address from which the callers of a zone connect. */
  public String callerHost(Deployment.Zone zone) {
    return zone.prefix() + CALLER_ADDRESS_SUFFIX;
  }

  /** Returns the address of the relay in front of the given address. */
  public HttpAddress relayOf(HttpAddress address) {
    return new HttpAddress(address.host(), address.port() + RELAY_PORT_OFFSET);
  }

  /**
   * Returns the zone with the given name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public Deployment.Zone zone(String name) {
    return deployment.zones().stream()
        .filter(zone -> zone.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no availability zone " + name));
  }

  /**
   * Returns the service with the given name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public Deployment.ServiceSpecification service(String name) {
    return deployment.services().stream()
        .filter(service -> service.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no service " + name));
  }

  /**
   * Returns the initial configuration of the system, without access keys.
   *
   * @param servers backend servers with the addresses to which entry instances connect
   */
  public Configuration configuration(List<BackendServer> servers) {
    List<String> regions =
        deployment.zones().stream().map(Deployment.Zone::region).distinct().toList();
    return Configuration.builder()
        .regions(regions.stream().map(name -> new Region(name, 0, List.of())).toList())
        .links(links(regions))
        .zones(
            deployment.zones().stream()
                .map(zone -> new AvailabilityZone(zone.name(), zone.region(), List.of()))
                .toList())
        .organisations(
            deployment.organisations().stream().map(DeploymentLayout::organisation).toList())
        .backendServers(servers)
        .selectors(deployment.routes().stream().map(DeploymentLayout::selector).toList())
        .build();
  }

  private List<Link> links(List<String> regions) {
    List<Link> links = new ArrayList<>();
    for (String from : regions) {
      for (String to : regions) {
        if (!from.equals(to)) {
          links.add(new Link(from, to, deployment.linkMegabitsPerSecond()));
        }
      }
    }
    return links;
  }

  private static Organisation organisation(Deployment.OrganisationSpecification specification) {
    return new Organisation(
        specification.name(), specification.requestsPerSecond(), specification.burst(), 0);
  }

  private static Selector selector(Deployment.Route route) {
    return new Selector(
        route.name(), route.path(), route.service(), route.open(), route.organisations());
  }
}
