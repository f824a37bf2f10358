package org.corianderweir.logic.keys;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Tracks until when the configuration in force is known to have been current. All moments are by
 * the own monotonic clock, and count from before the question was asked. Used by the control thread
 * alone.
 *
 * <p>A revision is current at a moment if the platform's service named it then. If nobody has
 * contact with the service, it is current as long as every availability zone says so and none knows
 * a higher revision: nothing can have been accepted.
 */
public final class KeyFreshness {
  /** Time without an answer of the platform's service after which contact counts as lost. */
  public static final Duration STORE_CONTACT_TIMEOUT = Duration.ofSeconds(3);

  private final String ownZone;
  private final Map<String, ZoneReport> zoneReports = new TreeMap<>();
  private long revisionInForce;
  private @Nullable RevisionConfirmation storeConfirmation;
  private @Nullable RevisionConfirmation latestConfirmation;
  private @Nullable RevisionConfirmation pendingConfirmation;
  private @Nullable Long storeFailureNanoseconds;

  /** Creates a tracker to which nothing is confirmed. */
  public KeyFreshness(String ownZone) {
    this.ownZone = ownZone;
  }

  /** Takes note of the revision in force here; it only ever grows. */
  public void recordRevisionInForce(long revision) {
    revisionInForce = Math.max(revisionInForce, revision);
    RevisionConfirmation pending = pendingConfirmation;
    if (pending != null && pending.revision() <= revisionInForce) {
      pendingConfirmation = null;
      updateLatestConfirmation(pending);
    }
  }

  /** Takes an answer of the platform's service, own or heard of. */
  public void recordStoreConfirmation(RevisionConfirmation confirmation) {
    if (isLater(confirmation, storeConfirmation)) {
      storeConfirmation = confirmation;
    }
    recordConfirmation(confirmation);
  }

  /** Takes another instance's conclusion that a revision was current. */
  public void recordConfirmation(RevisionConfirmation confirmation) {
    if (confirmation.revision() <= revisionInForce) {
      updateLatestConfirmation(confirmation);
    } else if (isLater(confirmation, pendingConfirmation)) {
      pendingConfirmation = confirmation;
    }
  }

  /** Takes note that the platform's service did not answer a question asked at a moment. */
  public void recordStoreFailure(long askedNanoseconds) {
    storeFailureNanoseconds = askedNanoseconds;
  }

  /** Takes the word of an availability zone; an older one than the known one is ignored. */
  public void recordZoneReport(ZoneReport report) {
    ZoneReport known = zoneReports.get(report.zone());
    boolean later = known == null || report.asOfNanoseconds() - known.asOfNanoseconds() > 0;
    if (later && !report.zone().equals(ownZone)) {
      zoneReports.put(report.zone(), report);
    }
  }

  /**
   * Concludes that nothing can have been accepted, if that is so.
   *
   * @param zones all availability zones that have entry instances
   */
  public void confirmIfNoZoneHasStoreContact(Collection<String> zones, long nowNanoseconds) {
    Long failure = storeFailureNanoseconds;
    if (failure == null || hasStoreContact(nowNanoseconds)) {
      return;
    }
    long asOf = failure;
    for (String zone : zones) {
      if (zone.equals(ownZone)) {
        continue;
      }
      ZoneReport report = zoneReports.get(zone);
      if (report == null
          || report.hasStoreContact()
          || report.highestRevision() > revisionInForce) {
        return;
      }
      if (report.asOfNanoseconds() - asOf < 0) {
        asOf = report.asOfNanoseconds();
      }
    }
    updateLatestConfirmation(new RevisionConfirmation(revisionInForce, asOf));
  }

  /** Returns whether any instance is known to have had an answer of the service lately. */
  public boolean hasStoreContact(long nowNanoseconds) {
    RevisionConfirmation latest = storeConfirmation;
    return latest != null
        && nowNanoseconds - latest.asOfNanoseconds() <= STORE_CONTACT_TIMEOUT.toNanos();
  }

  /** Returns the latest answer of the platform's service that is known. */
  public Optional<RevisionConfirmation> storeConfirmation() {
    return Optional.ofNullable(storeConfirmation);
  }

  /** Returns the latest confirmation of the revision in force, or of a former one. */
  public Optional<RevisionConfirmation> latestConfirmation() {
    return Optional.ofNullable(latestConfirmation);
  }

  /** Returns what the other availability zones said last. */
  public Collection<ZoneReport> zoneReports() {
    return java.util.List.copyOf(zoneReports.values());
  }

  private void updateLatestConfirmation(RevisionConfirmation confirmation) {
    if (isLater(confirmation, latestConfirmation)) {
      latestConfirmation = confirmation;
    }
  }

  private static boolean isLater(
      RevisionConfirmation candidate, @Nullable RevisionConfirmation known) {
    return known == null || candidate.asOfNanoseconds() - known.asOfNanoseconds() > 0;
  }
}
