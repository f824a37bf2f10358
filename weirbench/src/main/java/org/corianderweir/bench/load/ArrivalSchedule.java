package org.corianderweir.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import org.corianderweir.bench.deployment.Deployment;

/** Draws the arrivals of a run: Poisson processes, the same for the same seed. */
public final class ArrivalSchedule {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int CLIENTS_PER_ZONE = 8;

  private final Deployment deployment;
  private final LoadPlan plan;
  private final SplittableRandom seeds;
  private final List<Arrival> arrivals = new ArrayList<>();

  private ArrivalSchedule(Deployment deployment, LoadPlan plan) {
    this.deployment = deployment;
    this.plan = plan;
    seeds = new SplittableRandom(plan.seed());
  }

  /** Returns the arrivals in order of time. */
  public static List<Arrival> draw(Deployment deployment, LoadPlan plan) {
    ArrivalSchedule schedule = new ArrivalSchedule(deployment, plan);
    schedule.drawOpen();
    deployment.organisations().forEach(schedule::drawKeyed);
    schedule.arrivals.sort(Comparator.comparingLong(Arrival::offsetNanoseconds));
    return List.copyOf(schedule.arrivals);
  }

  private void drawOpen() {
    List<Deployment.Route> routes =
        deployment.routes().stream().filter(Deployment.Route::open).toList();
    List<String> zones = deployment.zones().stream().map(Deployment.Zone::name).toList();
    double rate = deployment.openRequestsPerSecond() * plan.factor();
    drawProcess("", routes, zones, rate, offset -> rate);
  }

  private void drawKeyed(Deployment.OrganisationPlan organisation) {
    List<Deployment.Route> routes =
        deployment.routes().stream().filter(route -> isAllowed(route, organisation)).toList();
    double usual = organisation.requestsPerSecond() * organisation.demand() * plan.factor();
    double highest =
        plan.surges().stream()
            .filter(surge -> surge.organisation().equals(organisation.name()))
            .mapToDouble(surge -> surge.rateFactor() * organisation.requestsPerSecond())
            .reduce(usual, Math::max);
    drawProcess(
        organisation.name(),
        routes,
        zonesOf(organisation),
        highest,
        offset -> rateAt(organisation, usual, offset));
  }

  private double rateAt(Deployment.OrganisationPlan organisation, double usual, long offset) {
    return plan.surges().stream()
        .filter(surge -> surge.organisation().equals(organisation.name()))
        .filter(surge -> surge.from().toNanos() <= offset && offset < surge.to().toNanos())
        .mapToDouble(surge -> surge.rateFactor() * organisation.requestsPerSecond())
        .findFirst()
        .orElse(usual);
  }

  private List<String> zonesOf(Deployment.OrganisationPlan organisation) {
    if (plan.singleZone().isPresent()) {
      return List.of(plan.singleZone().get());
    }
    return deployment.zones().stream()
        .filter(zone -> zone.region().equals(organisation.homeRegion()))
        .map(Deployment.Zone::name)
        .toList();
  }

  private static boolean isAllowed(
      Deployment.Route route, Deployment.OrganisationPlan organisation) {
    return !route.open()
        && (route.organisations().isEmpty() || route.organisations().contains(organisation.name()));
  }

  /** Thinning: draws at the highest rate and keeps each arrival with the present rate's share. */
  private void drawProcess(
      String organisation,
      List<Deployment.Route> routes,
      List<String> zones,
      double highestPerSecond,
      LongToDoubleFunction ratePerSecond) {
    SplittableRandom random = seeds.split();
    double offset = 0;
    while (true) {
      double gapSeconds = -Math.log(1 - random.nextDouble()) / highestPerSecond;
      offset += gapSeconds * NANOSECONDS_PER_SECOND;
      if (offset >= plan.duration().toNanos()) {
        return;
      }
      Deployment.Route route = choose(routes, random);
      String zone = zones.get(random.nextInt(zones.size()));
      int client = random.nextInt(CLIENTS_PER_ZONE);
      boolean kept =
          random.nextDouble() * highestPerSecond < ratePerSecond.applyAsDouble((long) offset);
      if (kept) {
        arrivals.add(new Arrival((long) offset, organisation, route, zone, client));
      }
    }
  }

  private static Deployment.Route choose(List<Deployment.Route> routes, SplittableRandom random) {
    double sum = routes.stream().mapToDouble(Deployment.Route::share).sum();
    double left = random.nextDouble() * sum;
    for (Deployment.Route route : routes) {
      left -= route.share();
      if (left < 0) {
        return route;
      }
    }
    return routes.getLast();
  }
}
