package org.corianderweir.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import org.corianderweir.bench.deployment.Deployment;

/** Generates the arrivals of a run from Poisson processes. Equal seeds give the same arrivals. */
public final class ArrivalSchedule {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int CLIENTS_PER_ZONE = 8;

  private final Deployment deployment;
  private final LoadPlan plan;
  private final SplittableRandom seedRandom;
  private final List<Arrival> arrivals = new ArrayList<>();

  private ArrivalSchedule(Deployment deployment, LoadPlan plan) {
    this.deployment = deployment;
    this.plan = plan;
    seedRandom = new SplittableRandom(plan.seed());
  }

  /** Returns the arrivals in order of time. */
  public static List<Arrival> generate(Deployment deployment, LoadPlan plan) {
    ArrivalSchedule schedule = new ArrivalSchedule(deployment, plan);
    schedule.generateOpenArrivals();
    deployment.organisations().forEach(schedule::generateKeyedArrivals);
    schedule.arrivals.sort(Comparator.comparingLong(Arrival::offsetNanoseconds));
    return List.copyOf(schedule.arrivals);
  }

  private void generateOpenArrivals() {
    List<Deployment.Route> routes =
        deployment.routes().stream().filter(Deployment.Route::open).toList();
    List<String> zones = deployment.zones().stream().map(Deployment.Zone::name).toList();
    double rate = deployment.openRequestsPerSecond() * plan.loadFactor();
    generatePoissonProcess("", routes, zones, rate, offset -> rate);
  }

  private void generateKeyedArrivals(Deployment.OrganisationSpecification organisation) {
    List<Deployment.Route> routes =
        deployment.routes().stream().filter(route -> isAllowed(route, organisation)).toList();
    double baseRate = organisation.requestsPerSecond() * organisation.demand() * plan.loadFactor();
    double maximumRate =
        plan.surges().stream()
            .filter(surge -> surge.organisation().equals(organisation.name()))
            .mapToDouble(surge -> surge.rateFactor() * organisation.requestsPerSecond())
            .reduce(baseRate, Math::max);
    generatePoissonProcess(
        organisation.name(),
        routes,
        zonesOf(organisation),
        maximumRate,
        offset -> rateAt(organisation, baseRate, offset));
  }

  private double rateAt(
      Deployment.OrganisationSpecification organisation, double baseRate, long offset) {
    return plan.surges().stream()
        .filter(surge -> surge.organisation().equals(organisation.name()))
        .filter(surge -> surge.from().toNanos() <= offset && offset < surge.to().toNanos())
        .mapToDouble(surge -> surge.rateFactor() * organisation.requestsPerSecond())
        .findFirst()
        .orElse(baseRate);
  }

  private List<String> zonesOf(Deployment.OrganisationSpecification organisation) {
    if (plan.singleZone().isPresent()) {
      return List.of(plan.singleZone().get());
    }
    return deployment.zones().stream()
        .filter(zone -> zone.region().equals(organisation.homeRegion()))
        .map(Deployment.Zone::name)
        .toList();
  }

  private static boolean isAllowed(
      Deployment.Route route, Deployment.OrganisationSpecification organisation) {
    return !route.open()
        && (route.organisations().isEmpty() || route.organisations().contains(organisation.name()));
  }

  /**
   * Generates a Poisson process with a varying rate by thinning: draws arrivals at the maximum rate
   * and keeps each with the probability of the current rate divided by the maximum rate.
   */
  private void generatePoissonProcess(
      String organisation,
      List<Deployment.Route> routes,
      List<String> zones,
      double maximumPerSecond,
      LongToDoubleFunction ratePerSecond) {
    SplittableRandom random = seedRandom.split();
    double offset = 0;
    while (true) {
      double gapSeconds = -Math.log(1 - random.nextDouble()) / maximumPerSecond;
      offset += gapSeconds * NANOSECONDS_PER_SECOND;
      if (offset >= plan.duration().toNanos()) {
        return;
      }
      Deployment.Route route = chooseRoute(routes, random);
      String zone = zones.get(random.nextInt(zones.size()));
      int client = random.nextInt(CLIENTS_PER_ZONE);
      boolean accepted =
          random.nextDouble() * maximumPerSecond < ratePerSecond.applyAsDouble((long) offset);
      if (accepted) {
        arrivals.add(new Arrival((long) offset, organisation, route, zone, client));
      }
    }
  }

  private static Deployment.Route chooseRoute(
      List<Deployment.Route> routes, SplittableRandom random) {
    double totalShare = routes.stream().mapToDouble(Deployment.Route::share).sum();
    double remainingShare = random.nextDouble() * totalShare;
    for (Deployment.Route route : routes) {
      remainingShare -= route.share();
      if (remainingShare < 0) {
        return route;
      }
    }
    return routes.getLast();
  }
}
