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
import org.corianderweir.protocol.MembershipMessage.AgedWord;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes membership messages; type numbers 1 to 19. Number 1 was a longer heartbeat. */
final class MembershipCodec {
  private static final int INTRODUCTION = 2;
  private static final int HEARTBEAT = 3;
  private static final int ZONE_QUESTION = 4;
  private static final int ZONE_ANSWER = 5;
  private static final int SAMPLE = 6;
  private static final int SAMPLES_REQUEST = 7;
  private static final int ZONES_MAXIMUM = 1_000;

  private MembershipCodec() {}

  static void pack(MessagePacker packer, MembershipMessage message) throws IOException {
    switch (message) {
      case MembershipMessage.Introduction introduction -> {
        packer.packInt(INTRODUCTION);
        packInstance(packer, introduction.instance());
      }
      case MembershipMessage.Heartbeat heartbeat -> packHeartbeat(packer, heartbeat);
      case MembershipMessage.ZoneQuestion question -> {
        packer.packInt(ZONE_QUESTION).packLong(question.sequence());
        packSample(packer, question.sample());
      }
      case MembershipMessage.ZoneAnswer answer -> packAnswer(packer, answer);
      case MembershipMessage.Sample sample -> {
        packer.packInt(SAMPLE);
        packSample(packer, sample.sample());
      }
      case MembershipMessage.SamplesRequest request -> packer.packInt(SAMPLES_REQUEST);
    }
  }

  /** Returns a message, or nothing if the type number is not one of these. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case INTRODUCTION ->
          Optional.of(new MembershipMessage.Introduction(unpackInstance(unpacker)));
      case HEARTBEAT -> Optional.of(unpackHeartbeat(unpacker));
      case ZONE_QUESTION ->
          Optional.of(
              new MembershipMessage.ZoneQuestion(unpacker.unpackLong(), unpackSample(unpacker)));
      case ZONE_ANSWER -> Optional.of(unpackAnswer(unpacker));
      case SAMPLE -> Optional.of(new MembershipMessage.Sample(unpackSample(unpacker)));
      case SAMPLES_REQUEST -> Optional.of(new MembershipMessage.SamplesRequest());
      default -> Optional.empty();
    };
  }

  private static void packHeartbeat(MessagePacker packer, MembershipMessage.Heartbeat heartbeat)
      throws IOException {
    packer.packInt(HEARTBEAT).packLong(heartbeat.sequence()).packLong(heartbeat.echo());
    packer.packInt(heartbeat.state().ordinal()).packLong(heartbeat.revision());
    packRevision(packer, heartbeat.fromStore());
    packRevision(packer, heartbeat.confirmed());
    packer.packLong(heartbeat.timestamp().wallMilliseconds());
    packer.packInt(heartbeat.timestamp().counter());
  }

  private static PeerMessage unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
    return new MembershipMessage.Heartbeat(
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        state(unpacker.unpackInt()),
        unpacker.unpackLong(),
        unpackRevision(unpacker),
        unpackRevision(unpacker),
        new HybridTimestamp(unpacker.unpackLong(), unpacker.unpackInt()));
  }

  private static void packAnswer(MessagePacker packer, MembershipMessage.ZoneAnswer answer)
      throws IOException {
    packer.packInt(ZONE_ANSWER).packLong(answer.echo()).packLong(answer.revision());
    packRevision(packer, answer.fromStore());
    packer.packArrayHeader(answer.words().size());
    for (AgedWord word : answer.words()) {
      packer.packString(word.zone());
      packer.packLong(word.lowestRevision()).packLong(word.highestRevision());
      packer.packBoolean(word.storeContact()).packLong(word.ageMilliseconds());
    }
    packSample(packer, answer.sample());
  }

  private static PeerMessage unpackAnswer(MessageUnpacker unpacker) throws IOException {
    long echo = unpacker.unpackLong();
    long revision = unpacker.unpackLong();
    AgedRevision fromStore = unpackRevision(unpacker);
    int count = bounded(unpacker.unpackArrayHeader());
    List<AgedWord> words = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      words.add(
          new AgedWord(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackBoolean(),
              age(unpacker)));
    }
    return new MembershipMessage.ZoneAnswer(
        echo, revision, fromStore, words, unpackSample(unpacker));
  }

  private static void packRevision(MessagePacker packer, AgedRevision revision) throws IOException {
    packer.packLong(revision.revision()).packLong(revision.ageMilliseconds());
  }

  private static AgedRevision unpackRevision(MessageUnpacker unpacker) throws IOException {
    long revision = unpacker.unpackLong();
    long age = unpacker.unpackLong();
    return age < 0 ? AgedRevision.NONE : new AgedRevision(revision, age);
  }

  /** A negative age would make a word fresher than the question that it answers. */
  private static long age(MessageUnpacker unpacker) throws IOException {
    long age = unpacker.unpackLong();
    if (age < 0) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "age " + age);
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
    int count = bounded(unpacker.unpackArrayHeader());
    List<Member> members = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      members.add(
          new Member(
              unpackInstance(unpacker),
              unpacker.unpackLong(),
              state(unpacker.unpackInt()),
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

  private static InstanceState state(int ordinal) {
    InstanceState[] states = InstanceState.values();
    if (ordinal < 0 || ordinal >= states.length) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "unknown state " + ordinal);
    }
    return states[ordinal];
  }

  private static int bounded(int count) {
    if (count > ZONES_MAXIMUM) {
      throw new WeirException(ErrorCode.FRAME_INVALID, count + " items");
    }
    return count;
  }
}
