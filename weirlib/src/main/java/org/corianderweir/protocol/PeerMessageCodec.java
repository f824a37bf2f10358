package org.corianderweir.protocol;

import java.io.IOException;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes peer messages as MessagePack: the number of the type, then its fields in order. Numbers
 * are never reused.
 */
public final class PeerMessageCodec {
  private static final int HEARTBEAT = 1;
  private static final int CONFIGURATION_REQUEST = 20;
  private static final int CONFIGURATION_OFFER = 21;

  private PeerMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case MembershipMessage.Heartbeat heartbeat -> packHeartbeat(packer, heartbeat);
        case ConfigurationMessage.Request request ->
            packer.packInt(CONFIGURATION_REQUEST).packLong(request.knownRevision());
        case ConfigurationMessage.Offer offer ->
            packer
                .packInt(CONFIGURATION_OFFER)
                .packLong(offer.revision())
                .packString(offer.document());
        case LimitMessage limit -> LimitMessageCodec.pack(packer, limit);
      }
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws WeirException with code {@code FRAME_INVALID} if the bytes are not a whole message
   */
  public static PeerMessage decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      PeerMessage message = unpack(unpacker);
      if (unpacker.hasNext()) {
        throw new WeirException(ErrorCode.FRAME_INVALID, "bytes after the message");
      }
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException failure) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "not a message", failure);
    }
  }

  private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    if (type >= LimitMessageCodec.FIRST_TYPE && type <= LimitMessageCodec.LAST_TYPE) {
      return LimitMessageCodec.unpack(type, unpacker);
    }
    return switch (type) {
      case HEARTBEAT -> unpackHeartbeat(unpacker);
      case CONFIGURATION_REQUEST -> new ConfigurationMessage.Request(unpacker.unpackLong());
      case CONFIGURATION_OFFER ->
          new ConfigurationMessage.Offer(unpacker.unpackLong(), unpacker.unpackString());
      default -> throw new WeirException(ErrorCode.FRAME_INVALID, "unknown type " + type);
    };
  }

  private static void packHeartbeat(
      MessageBufferPacker packer, MembershipMessage.Heartbeat heartbeat) throws IOException {
    packer.packInt(HEARTBEAT);
    Member member = heartbeat.sender();
    EntryInstance instance = member.instance();
    packer.packString(instance.name());
    packer.packString(instance.region());
    packer.packString(instance.availabilityZone());
    packer.packString(instance.host());
    packer.packInt(instance.callerPort());
    packer.packInt(instance.operatorPort());
    packer.packInt(instance.peerPort());
    packer.packLong(member.incarnation());
    packer.packInt(member.state().ordinal());
    packer.packLong(member.revision());
    packer.packLong(heartbeat.timestamp().wallMilliseconds());
    packer.packInt(heartbeat.timestamp().counter());
  }

  private static PeerMessage unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
    EntryInstance instance =
        new EntryInstance(
            unpacker.unpackString(),
            unpacker.unpackString(),
            unpacker.unpackString(),
            unpacker.unpackString(),
            unpacker.unpackInt(),
            unpacker.unpackInt(),
            unpacker.unpackInt());
    Member member =
        new Member(
            instance, unpacker.unpackLong(), state(unpacker.unpackInt()), unpacker.unpackLong());
    HybridTimestamp timestamp = new HybridTimestamp(unpacker.unpackLong(), unpacker.unpackInt());
    return new MembershipMessage.Heartbeat(member, timestamp);
  }

  private static InstanceState state(int ordinal) {
    InstanceState[] states = InstanceState.values();
    if (ordinal < 0 || ordinal >= states.length) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "unknown state " + ordinal);
    }
    return states[ordinal];
  }
}
