package org.corianderweir.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.MembershipMessage.AgedRevision;
import org.corianderweir.protocol.MembershipMessage.AgedZoneReport;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes membership messages, which have type numbers 1 to 19. Number 1 belonged to an
 * earlier, longer format of the heartbeat and must not be reused.
 */
final class MembershipMessageCodec {
  private static final int INTRODUCTION = 2;
  private static final int HEARTBEAT = 3;
  private static final int ZONE_STATE_REQUEST = 4;
  private static final int ZONE_STATE_RESPONSE = 5;
  private static final int SAMPLE = 6;
  private static final int SAMPLES_REQUEST = 7;
  private static final int MAXIMUM_LIST_LENGTH = 1_000;

  private MembershipMessageCodec() {}

  static void pack(MessagePacker packer, MembershipMessage message) throws IOException {
    switch (message) {
      case MembershipMessage.Introduction introduction -> {
        packer.packInt(INTRODUCTION);
        packInstance(packer, introduction.instance());
      }
      case MembershipMessage.Heartbeat heartbeat -> packHeartbeat(packer, heartbeat);
      case MembershipMessage.ZoneStateRequest stateRequest -> {
        packer.packInt(ZONE_STATE_REQUEST).packLong(stateRequest.sequence());
        packSample(packer, stateRequest.sample());
      }
      case MembershipMessage.ZoneStateResponse response -> packZoneStateResponse(packer, response);
      case MembershipMessage.Sample sample -> {
        packer.packInt(SAMPLE);
        packSample(packer, sample.sample());
      }
      case MembershipMessage.SamplesRequest request -> packer.packInt(SAMPLES_REQUEST);
    }
  }

  /** Decodes a message; returns empty if this codec does not know the type number. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case INTRODUCTION ->
          Optional.of(new MembershipMessage.Introduction(unpackInstance(unpacker)));
      case HEARTBEAT -> Optional.of(unpackHeartbeat(unpacker));
      case ZONE_STATE_REQUEST ->
          Optional.of(
              new MembershipMessage.ZoneStateRequest(
                  unpacker.unpackLong(), unpackSample(unpacker)));
      case ZONE_STATE_RESPONSE -> Optional.of(unpackZoneStateResponse(unpacker));
      case SAMPLE -> Optional.of(new MembershipMessage.Sample(unpackSample(unpacker)));
      case SAMPLES_REQUEST -> Optional.of(new MembershipMessage.SamplesRequest());
      default -> Optional.empty();
    };
  }

  private static void packHeartbeat(MessagePacker packer, MembershipMessage.Heartbeat heartbeat)
      throws IOException {
    packer.packInt(HEARTBEAT).packLong(heartbeat.sequence()).packLong(heartbeat.echoedSequence());
    packer.packInt(heartbeat.state().ordinal()).packLong(heartbeat.revision());
    packRevision(packer, heartbeat.storeRevision());
    packRevision(packer, heartbeat.confirmedRevision());
    packer.packLong(heartbeat.timestamp().wallMilliseconds());
    packer.packInt(heartbeat.timestamp().counter());
  }

  private static PeerMessage unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
    return new MembershipMessage.Heartbeat(
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpackState(unpacker.unpackInt()),
        unpacker.unpackLong(),
        unpackRevision(unpacker),
        unpackRevision(unpacker),
        new HybridTimestamp(unpacker.unpackLong(), unpacker.unpackInt()));
  }

  private static void packZoneStateResponse(
      MessagePacker packer, MembershipMessage.ZoneStateResponse response) throws IOException {
    packer
        .packInt(ZONE_STATE_RESPONSE)
        .packLong(response.echoedSequence())
        .packLong(response.revision());
    packRevision(packer, response.storeRevision());
    packer.packArrayHeader(response.zoneReports().size());
    for (AgedZoneReport report : response.zoneReports()) {
      packer.packString(report.zone());
      packer.packLong(report.lowestRevision()).packLong(report.highestRevision());
      packer.packBoolean(report.hasStoreContact()).packLong(report.ageMilliseconds());
    }
    packSample(packer, response.sample());
  }

  private static PeerMessage unpackZoneStateResponse(MessageUnpacker unpacker) throws IOException {
    long echoedSequence = unpacker.unpackLong();
    long revision = unpacker.unpackLong();
    AgedRevision storeRevision = unpackRevision(unpacker);
    int count = requireWithinLimit(unpacker.unpackArrayHeader());
    List<AgedZoneReport> zoneReports = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      zoneReports.add(
          new AgedZoneReport(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackBoolean(),
              unpackAge(unpacker)));
    }
    return new MembershipMessage.ZoneStateResponse(
        echoedSequence, revision, storeRevision, zoneReports, unpackSample(unpacker));
  }

  private static void packRevision(MessagePacker packer, AgedRevision revision) throws IOException {
    packer.packLong(revision.revision()).packLong(revision.ageMilliseconds());
  }

  private static AgedRevision unpackRevision(MessageUnpacker unpacker) throws IOException {
    long revision = unpacker.unpackLong();
    long age = unpacker.unpackLong();
    return age < 0 ? AgedRevision.NONE : new AgedRevision(revision, age);
  }

  /**
   * Rejects a negative age, because it would make a report newer than the request that it answers.
   */
  private static long unpackAge(MessageUnpacker unpacker) throws IOException {
    long age = unpacker.unpackLong();
    if (age < 0) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "negative age " + age);
    }
    return age;
  }

  private static void packSample(MessagePacker packer, ZoneSample sample) throws IOException {
    packer.packString(sample.zone()).packLong(sample.version());
    packer.packArrayHeader(sample.members().size());
    for (Member member : sample.members()) {
      packInstance(packer, member.instance());
      packer.packLong(member.incarnation()).packInt(member.state().ordinal());
      packer.packLong(member.revision());
    }
  }

  private static ZoneSample unpackSample(MessageUnpacker unpacker) throws IOException {
    String zone = unpacker.unpackString();
    long version = unpacker.unpackLong();
    int count = requireWithinLimit(unpacker.unpackArrayHeader());
    List<Member> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      members.add(
          new Member(
              unpackInstance(unpacker),
              unpacker.unpackLong(),
              unpackState(unpacker.unpackInt()),
              unpacker.unpackLong()));
    }
    return new ZoneSample(zone, version, members);
  }

  private static void packInstance(MessagePacker packer, EntryInstance instance)
      throws IOException {
    packer.packString(instance.name());
    packer.packString(instance.region());
    packer.packString(instance.availabilityZone());
    packer.packString(instance.host());
    packer.packInt(instance.callerPort());
    packer.packInt(instance.operatorPort());
    packer.packInt(instance.peerPort());
  }

  private static EntryInstance unpackInstance(MessageUnpacker unpacker) throws IOException {
    return new EntryInstance(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackInt());
  }

  private static InstanceState unpackState(int ordinal) {
    InstanceState[] states = InstanceState.values();
    if (ordinal < 0 || ordinal >= states.length) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "unknown state " + ordinal);
    }
    return states[ordinal];
  }

  private static int requireWithinLimit(int count) {
    if (count > MAXIMUM_LIST_LENGTH) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "list is too long: " + count);
    }
    return count;
  }
}
