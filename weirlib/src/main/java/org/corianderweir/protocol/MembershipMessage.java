package org.corianderweir.protocol;

import java.util.List;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/** Messages by which entry instances learn of each other. */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * Says where the sender is.
   *
   * @param instance the sender
   */
  record Introduction(EntryInstance instance) implements MembershipMessage {}

  /**
   * "I am alive", sent at a fixed interval within an availability zone.
   *
   * @param sequence number of this heartbeat
   * @param echoedSequence number of the last heartbeat heard from the receiver; zero if there was
   *     none
   * @param state the sender's state
   * @param revision revision in force at the sender
   * @param storeRevision latest answer of the platform's service that the sender knows of
   * @param confirmedRevision latest confirmation of the sender's revision
   * @param timestamp the sender's hybrid clock
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
   * Asks an instance of another availability zone for what it knows.
   *
   * @param sequence number of the question
   * @param sample sample of the sender's zone
   */
  record ZoneStateRequest(long sequence, ZoneSample sample) implements MembershipMessage {}

  /**
   * Answers a question of another availability zone.
   *
   * @param echoedSequence number of the question
   * @param revision revision in force at the sender
   * @param storeRevision latest answer of the platform's service that the sender knows of
   * @param zoneReports what is known of the zones
   * @param sample sample of the sender's zone
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
   * Hands on a sample of an availability zone.
   *
   * @param sample the sample
   */
  record Sample(ZoneSample sample) implements MembershipMessage {}

  /** Asks for all samples; sent by a new instance to one of its zone. */
  record SamplesRequest() implements MembershipMessage {}

  /**
   * A revision and how long ago it was known to be current.
   *
   * @param revision the revision
   * @param ageMilliseconds age when this was sent, or {@link #UNKNOWN_AGE_MILLISECONDS}
   */
  record AgedRevision(long revision, long ageMilliseconds) {
    /** The age of something that never was. */
    public static final long UNKNOWN_AGE_MILLISECONDS = -1;

    /** Nothing is known. */
    public static final AgedRevision NONE = new AgedRevision(0, UNKNOWN_AGE_MILLISECONDS);
  }

  /**
   * The word of an availability zone and its age.
   *
   * @param zone name of the zone
   * @param lowestRevision lowest revision in force there
   * @param highestRevision highest revision known there
   * @param hasStoreContact whether contact with the platform's service is known there
   * @param ageMilliseconds age when this was sent
   */
  record AgedZoneReport(
      String zone,
      long lowestRevision,
      long highestRevision,
      boolean hasStoreContact,
      long ageMilliseconds) {}
}
