package org.corianderweir.protocol;

import java.util.List;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/** Messages by which entry instances discover each other and exchange their state. */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * Tells the receiver the location and addresses of the sender.
   *
   * @param instance the sender
   */
  record Introduction(EntryInstance instance) implements MembershipMessage {}

  /**
   * Shows that the sender is alive. Sent at a fixed interval within an availability zone.
   *
   * @param sequence sequence number of this heartbeat
   * @param echoedSequence sequence number of the latest heartbeat that the sender has received from
   *     the receiver; zero if there was none
   * @param state state of the sender
   * @param revision configuration revision in force at the sender
   * @param storeRevision latest revision that the platform's metadata store returned to the sender
   *     or to an instance that the sender heard from
   * @param confirmedRevision latest confirmation that the revision in force at the sender is
   *     current
   * @param timestamp reading of the sender's hybrid logical clock
   */
  record Heartbeat(
      long sequence,
      long echoedSequence,
      InstanceState state,
      long revision,
      AgedRevision storeRevision,
      AgedRevision confirmedRevision,
      HybridTimestamp timestamp)
      implements MembershipMessage {}

  /**
   * Requests the configuration revision and the zone reports of an instance of another availability
   * zone.
   *
   * @param sequence sequence number of this request
   * @param sample sample of the entry instances in the sender's zone
   */
  record ZoneStateRequest(long sequence, ZoneSample sample) implements MembershipMessage {}

  /**
   * Responds to a {@link ZoneStateRequest} of another availability zone.
   *
   * @param echoedSequence sequence number of the request
   * @param revision configuration revision in force at the sender
   * @param storeRevision latest revision that the platform's metadata store returned to the sender
   *     or to an instance that the sender heard from
   * @param zoneReports latest report that the sender has of each availability zone
   * @param sample sample of the entry instances in the sender's zone
   */
  record ZoneStateResponse(
      long echoedSequence,
      long revision,
      AgedRevision storeRevision,
      List<AgedZoneReport> zoneReports,
      ZoneSample sample)
      implements MembershipMessage {
    /** Copies the list. */
    public ZoneStateResponse {
      zoneReports = List.copyOf(zoneReports);
    }
  }

  /**
   * Forwards a sample of the entry instances in an availability zone.
   *
   * @param sample the sample
   */
  record Sample(ZoneSample sample) implements MembershipMessage {}

  /** Requests the samples of all zones. A new instance sends it to an instance of its own zone. */
  record SamplesRequest() implements MembershipMessage {}

  /**
   * A configuration revision and the time since it was known to be current.
   *
   * @param revision the revision
   * @param ageMilliseconds time from then until the message was sent, in milliseconds, or {@link
   *     #UNKNOWN_AGE_MILLISECONDS}
   */
  record AgedRevision(long revision, long ageMilliseconds) {
    /** Age if no revision was ever known to be current. */
    public static final long UNKNOWN_AGE_MILLISECONDS = -1;

    /** Value if no revision was ever known to be current. */
    public static final AgedRevision NONE = new AgedRevision(0, UNKNOWN_AGE_MILLISECONDS);
  }

  /**
   * A report about an availability zone and the age of the report.
   *
   * @param zone name of the zone
   * @param lowestRevision lowest revision in force on an instance of the zone
   * @param highestRevision highest revision known in the zone
   * @param hasStoreContact whether the instance that reports for the zone knows of a recent
   *     response of the platform's metadata store to any instance
   * @param ageMilliseconds age of the report when the message was sent, in milliseconds
   */
  record AgedZoneReport(
      String zone,
      long lowestRevision,
      long highestRevision,
      boolean hasStoreContact,
      long ageMilliseconds) {}
}
