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
   * @param echo number of the last heartbeat heard from the receiver; zero if there was none
   * @param state the sender's state
   * @param revision revision in force at the sender
   * @param fromStore latest answer of the platform's service that the sender knows of
   * @param confirmed latest confirmation of the sender's revision
   * @param timestamp the sender's hybrid clock
   */
  record Heartbeat(
      long sequence,
      long echo,
      InstanceState state,
      long revision,
      AgedRevision fromStore,
      AgedRevision confirmed,
      HybridTimestamp timestamp)
      implements MembershipMessage {}

  /**
   * Asks an instance of another availability zone for what it knows.
   *
   * @param sequence number of the question
   * @param sample sample of the sender's zone
   */
  record ZoneQuestion(long sequence, ZoneSample sample) implements MembershipMessage {}

  /**
   * Answers a question of another availability zone.
   *
   * @param echo number of the question
   * @param revision revision in force at the sender
   * @param fromStore latest answer of the platform's service that the sender knows of
   * @param words what is known of the zones
   * @param sample sample of the sender's zone
   */
  record ZoneAnswer(
      long echo, long revision, AgedRevision fromStore, List<AgedWord> words, ZoneSample sample)
      implements MembershipMessage {
    /** Copies the list. */
    public ZoneAnswer {
      words = List.copyOf(words);
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
   * @param ageMilliseconds age when this was sent, or {@link #NEVER}
   */
  record AgedRevision(long revision, long ageMilliseconds) {
    /** The age of something that never was. */
    public static final long NEVER = -1;

    /** Nothing is known. */
    public static final AgedRevision NONE = new AgedRevision(0, NEVER);
  }

  /**
   * The word of an availability zone and its age.
   *
   * @param zone name of the zone
   * @param lowestRevision lowest revision in force there
   * @param highestRevision highest revision known there
   * @param storeContact whether contact with the platform's service is known there
   * @param ageMilliseconds age when this was sent
   */
  record AgedWord(
      String zone,
      long lowestRevision,
      long highestRevision,
      boolean storeContact,
      long ageMilliseconds) {}
}
