package org.corianderweir.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.keys.ZoneReport;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;

/**
 * Where a revision is in force, as far as one instance knows.
 *
 * @param revision the revision
 * @param zones the availability zones
 */
public record InForceReport(long revision, List<ZoneState> zones) {
  /** Age of a zone's latest report above which the zone counts as unreachable. */
  public static final Duration REACHABILITY_TIMEOUT = Duration.ofSeconds(10);

  /**
   * Longest time for which a zone's report may not include a change that an instance of the zone
   * has just accepted. It is added to the staleness limit of the keys.
   */
  public static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(3);

  /** Copies the list. */
  public InForceReport {
    zones = List.copyOf(zones);
  }

  /** Whether a revision is in force in a zone. */
  public enum Reach {
    /** The revision is in force on every instance of the zone that is known to be alive. */
    IN_FORCE,
    /** The zone is reachable, but not all its instances have the revision yet. */
    PENDING,
    /** No recent report of the zone is known. */
    UNREACHABLE
  }

  /**
   * The state of a revision in one availability zone.
   *
   * @param zone name of the availability zone
   * @param reach whether the revision is in force there
   * @param lowestRevision lowest revision known to be in force there; zero if unknown
   * @param keysStoppedByMilliseconds for an unreachable zone, wall time from which it refuses the
   *     keys of organisations that have the default staleness limit, if it stays unreachable until
   *     then
   * @param longestAllowanceMilliseconds longest staleness limit that is set for any organisation,
   *     zero if there is none; the zone may accept the keys of that organisation for this long
   *     instead
   */
  public record ZoneState(
      String zone,
      Reach reach,
      long lowestRevision,
      Optional<Long> keysStoppedByMilliseconds,
      long longestAllowanceMilliseconds) {}

  /** Creates the report from what a node knows. */
  public static InForceReport of(
      FleetNode node,
      Configuration configuration,
      long revision,
      long nowNanoseconds,
      long nowWallMilliseconds) {
    long longestStalenessMilliseconds =
        configuration.organisations().stream()
            .mapToLong(Organisation::keyStalenessMilliseconds)
            .max()
            .orElse(0);
    List<ZoneReport> reports = new ArrayList<>(node.freshness().zoneReports());
    reports.add(node.ownZoneReport(nowNanoseconds));
    List<ZoneState> states = new ArrayList<>();
    for (String zone : node.zones()) {
      Optional<ZoneReport> report =
          reports.stream().filter(known -> known.zone().equals(zone)).findFirst();
      states.add(
          state(
              zone,
              report,
              revision,
              nowNanoseconds,
              nowWallMilliseconds,
              longestStalenessMilliseconds));
    }
    return new InForceReport(revision, states);
  }

  private static ZoneState state(
      String zone,
      Optional<ZoneReport> report,
      long revision,
      long nowNanoseconds,
      long nowWallMilliseconds,
      long longestStalenessMilliseconds) {
    long lowest = report.map(ZoneReport::lowestRevision).orElse(0L);
    if (lowest >= revision) {
      return new ZoneState(
          zone, Reach.IN_FORCE, lowest, Optional.empty(), longestStalenessMilliseconds);
    }
    boolean isReachable =
        report.isPresent()
            && nowNanoseconds - report.get().asOfNanoseconds() <= REACHABILITY_TIMEOUT.toNanos();
    if (isReachable) {
      return new ZoneState(
          zone, Reach.PENDING, lowest, Optional.empty(), longestStalenessMilliseconds);
    }
    long keysStoppedBy =
        nowWallMilliseconds
            + KeyFreshnessView.DEFAULT_STALENESS_LIMIT.plus(PROPAGATION_TIMEOUT).toMillis();
    return new ZoneState(
        zone, Reach.UNREACHABLE, lowest, Optional.of(keysStoppedBy), longestStalenessMilliseconds);
  }
}
