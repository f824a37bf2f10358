package org.corianderweir.bench.deployment;

import java.util.List;

/**
 * A deployment of the system.
 *
 * @param name unique name
 * @param storeZone availability zone of the platform's service
 * @param latency one-way latencies
 * @param linkMegabitsPerSecond capacity between two regions, each way
 * @param openRequestsPerSecond demand on open routes
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
   * @param betweenZones between availability zones of a region
   * @param betweenRegions between regions
   * @param toClients between a client and the nearest availability zone
   */
  public record Latency(double betweenZones, double betweenRegions, double toClients) {}

  /**
   * An availability zone.
   *
   * @param name unique name
   * @param region name of its region
   * @param prefix first three parts of its IP addresses
   * @param entryInstances number of entry instances
   */
  public record Zone(String name, String region, String prefix, int entryInstances) {}

  /**
   * A service and the backend servers that run it, spread evenly over the availability zones.
   *
   * @param name unique name
   * @param servers number of backend servers
   * @param slots requests that a server runs at the same time
   * @param connectionLimit connections that a server accepts
   * @param serviceMilliseconds time that a request takes
   */
  public record ServiceSpecification(
      String name, int servers, int slots, int connectionLimit, long serviceMilliseconds) {}

  /**
   * A route.
   *
   * @param name unique name
   * @param path path prefix
   * @param method method that callers use
   * @param service service that answers
   * @param open whether requests need no key
   * @param organisations organisations that may use it; empty means all of them
   * @param share weight against the other routes of the same kind
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

    /** Returns whether a request may run more than once without harm. */
    public boolean idempotent() {
      return method.equals("GET");
    }
  }

  /**
   * An organisation.
   *
   * @param name unique name
   * @param requestsPerSecond sustained rate
   * @param burst requests that may come at once
   * @param homeRegion region that its callers are next to
   * @param demand part of the rate that its callers use on an ordinary day
   */
  public record OrganisationSpecification(
      String name, double requestsPerSecond, int burst, String homeRegion, double demand) {}

  /** Returns a deployment of only the first zones and the organisations next to them. */
  public Deployment firstZones(int count) {
    List<Zone> kept = zones.subList(0, count);
    List<OrganisationSpecification> nearOrganisations =
        organisations.stream()
            .filter(each -> kept.stream().anyMatch(zone -> zone.region().equals(each.homeRegion())))
            .toList();
    return new Deployment(
        name,
        storeZone,
        latency,
        linkMegabitsPerSecond,
        openRequestsPerSecond,
        kept,
        services,
        routes,
        nearOrganisations);
  }

  /** Returns a deployment whose backend servers all have the given slots and service time. */
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

  /** Returns a smaller deployment with the same shape. */
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
