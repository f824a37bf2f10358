package org.corianderweir.bench.deployment;

import java.util.List;

/**
 * A deployment of the system: its availability zones, services, routes and organisations.
 *
 * @param name unique name
 * @param storeZone name of the availability zone in which the platform's service runs
 * @param latency one-way latencies
 * @param linkMegabitsPerSecond capacity of the link between two regions, in each direction
 * @param openRequestsPerSecond demand on all open routes together
 * @param zones availability zones
 * @param services services and their backend servers
 * @param routes routes that callers use
 * @param organisations organisations and their demand
 */
public record Deployment(
    String name,
    String storeZone,
    Latency latency,
    double linkMegabitsPerSecond,
    double openRequestsPerSecond,
    List<Zone> zones,
    List<ServiceSpecification> services,
    List<Route> routes,
    List<OrganisationSpecification> organisations) {
  /** Copies the lists. */
  public Deployment {
    zones = List.copyOf(zones);
    services = List.copyOf(services);
    routes = List.copyOf(routes);
    organisations = List.copyOf(organisations);
  }

  /**
   * One-way latencies in milliseconds.
   *
   * @param betweenZones latency between availability zones of the same region
   * @param betweenRegions latency between regions
   * @param toClients latency between a client and its nearest availability zone
   */
  public record Latency(double betweenZones, double betweenRegions, double toClients) {}

  /**
   * An availability zone.
   *
   * @param name unique name
   * @param region name of its region
   * @param prefix first three octets of its IPv4 addresses
   * @param entryInstances number of entry instances
   */
  public record Zone(String name, String region, String prefix, int entryInstances) {}

  /**
   * A service and the backend servers that run it, spread evenly over the availability zones.
   *
   * @param name unique name
   * @param servers number of backend servers
   * @param slots requests that a server runs at the same time
   * @param connectionLimit maximum number of connections that a server accepts
   * @param serviceMilliseconds time that a server takes for a request
   */
  public record ServiceSpecification(
      String name, int servers, int slots, int connectionLimit, long serviceMilliseconds) {}

  /**
   * A route: the requests to one path prefix, which one service answers.
   *
   * @param name unique name
   * @param path path prefix
   * @param method HTTP method that callers use
   * @param service name of the service that answers
   * @param open whether callers may use it without a key
   * @param organisations names of the organisations that may use it; empty means all of them
   * @param share weight of its demand relative to the other routes that a caller may choose from
   */
  public record Route(
      String name,
      String path,
      String method,
      String service,
      boolean open,
      List<String> organisations,
      double share) {
    /** Copies the list. */
    public Route {
      organisations = List.copyOf(organisations);
    }

    /** Returns whether the requests of this route are idempotent, so that they may run twice. */
    public boolean idempotent() {
      return method.equals("GET");
    }
  }

  /**
   * An organisation and its demand.
   *
   * @param name unique name
   * @param requestsPerSecond sustained rate of its limit
   * @param burst number of requests that its limit admits at once
   * @param homeRegion name of the region nearest to its callers
   * @param demand fraction of the rate that its callers use on an ordinary day
   */
  public record OrganisationSpecification(
      String name, double requestsPerSecond, int burst, String homeRegion, double demand) {}

  /**
   * Returns this deployment reduced to its first zones and the organisations whose home region is
   * among them.
   */
  public Deployment firstZones(int count) {
    List<Zone> keptZones = zones.subList(0, count);
    List<OrganisationSpecification> keptOrganisations =
        organisations.stream()
            .filter(
                organisation ->
                    keptZones.stream()
                        .anyMatch(zone -> zone.region().equals(organisation.homeRegion())))
            .toList();
    return new Deployment(
        name,
        storeZone,
        latency,
        linkMegabitsPerSecond,
        openRequestsPerSecond,
        keptZones,
        services,
        routes,
        keptOrganisations);
  }

  /** Returns this deployment with the given slots and service time for all backend servers. */
  public Deployment withServers(int slots, long serviceMilliseconds) {
    List<ServiceSpecification> changedServices =
        services.stream()
            .map(
                service ->
                    new ServiceSpecification(
                        service.name(),
                        service.servers(),
                        slots,
                        service.connectionLimit(),
                        serviceMilliseconds))
            .toList();
    return new Deployment(
        name,
        storeZone,
        latency,
        linkMegabitsPerSecond,
        openRequestsPerSecond,
        zones,
        changedServices,
        routes,
        organisations);
  }

  /**
   * Returns this deployment with at most the given number of entry instances in each zone and
   * backend servers of each service.
   */
  public Deployment limitedTo(int entryInstancesPerZone, int serversPerService) {
    return new Deployment(
        name,
        storeZone,
        latency,
        linkMegabitsPerSecond,
        openRequestsPerSecond,
        zones.stream().map(zone -> limited(zone, entryInstancesPerZone)).toList(),
        services.stream().map(service -> limited(service, serversPerService)).toList(),
        routes,
        organisations);
  }

  private static Zone limited(Zone zone, int entryInstances) {
    int count = Math.min(entryInstances, zone.entryInstances());
    return new Zone(zone.name(), zone.region(), zone.prefix(), count);
  }

  private static ServiceSpecification limited(ServiceSpecification service, int servers) {
    return new ServiceSpecification(
        service.name(),
        Math.min(servers, service.servers()),
        service.slots(),
        service.connectionLimit(),
        service.serviceMilliseconds());
  }
}
