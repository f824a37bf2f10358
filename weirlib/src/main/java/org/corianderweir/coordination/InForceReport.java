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
 * Where a revision is in force, as one instance knows it.
 *
 * @param revision the revision
 * @param zones the availability zones
 */
public record InForceReport(long revision, List<ZoneState> zones) {
  /** Age of a zone's word above which the zone counts as out of reach. */
  public static final Duration REACHABILITY_TIMEOUT = Duration.ofSeconds(10);

  /**
   * Longest time for which a zone's word can miss a change that an instance of the zone accepted
   * just before, added to the age up to which keys are accepted.
   */
  public static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(3);

  /** Copies the list. */
  public InForceReport {
    zones = List.copyOf(zones);
  }

  /** Whether a revision is in force in a zone. */
  public enum Reach {
    /** On every instance that is heard there. */
    IN_FORCE,
    /** The zone is heard, and not all its instances have it yet. */
    PENDING,
    /** The zone is not heard. */
    UNREACHABLE
  }

  /**
   * A zone.
   *
   * @param zone name of the availability zone
   * @param reach whether the revision is in force there
   * @param lowestRevision lowest revision known to be in force there; zero if unknown
   * @param keysStoppedByMilliseconds for a zone out of reach, wall time by which it refuses keyed
   *     requests of organisations without a longer allowance, if it is still cut off then
   * @param longestAllowanceMilliseconds longest allowance of an organisation; its keys may be
   *     accepted there for this long instead
   */
  public record ZoneState(
      String zone,
      Reach reach,
      long lowestRevision,
      Optional<Long> keysStoppedByMilliseconds,
      long longestAllowanceMilliseconds) {}

  /** Reports what a node knows. */
  public static InForceReport of(
      FleetNode node,
      Configuration configuration,
      long revision,
      long nowNanoseconds,
      long nowWallMilliseconds) {
    long allowance =
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
      states.add(state(zone, report, revision, nowNanoseconds, nowWallMilliseconds, allowance));
    }
    return new InForceReport(revision, states);
  }

  private static ZoneState state(
      String zone,
      Optional<ZoneReport> report,
      long revision,
      long nowNanoseconds,
      long nowWallMilliseconds,
      long allowance) {
    long lowest = report.map(ZoneReport::lowestRevision).orElse(0L);
    if (lowest >= revision) {
      return new ZoneState(zone, Reach.IN_FORCE, lowest, Optional.empty(), allowance);
    }
    boolean heard =
        report.isPresent()
            && nowNanoseconds - report.get().asOfNanoseconds() <= REACHABILITY_TIMEOUT.toNanos();
    if (heard) {
      return new ZoneState(zone, Reach.PENDING, lowest, Optional.empty(), allowance);
    }
    long stopped =
        nowWallMilliseconds
            + KeyFreshnessView.DEFAULT_STALENESS_LIMIT.plus(PROPAGATION_TIMEOUT).toMillis();
    return new ZoneState(zone, Reach.UNREACHABLE, lowest, Optional.of(stopped), allowance);
  }
}
