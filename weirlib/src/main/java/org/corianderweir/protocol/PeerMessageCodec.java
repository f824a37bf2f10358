package org.corianderweir.protocol;

import java.io.IOException;
import java.util.Optional;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes peer messages as MessagePack: the number of the type, then its fields in order. Numbers
 * are never reused; each family of messages has a codec and a range of numbers.
 */
public final class PeerMessageCodec {
  private PeerMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case MembershipMessage membership -> MembershipMessageCodec.pack(packer, membership);
        case ConfigurationMessage configuration ->
            ConfigurationMessageCodec.pack(packer, configuration);
        case LimitMessage limit -> LimitMessageCodec.pack(packer, limit);
        case DemandMessage fleet -> DemandMessageCodec.pack(packer, fleet);
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
    Optional<PeerMessage> membership = MembershipMessageCodec.unpack(type, unpacker);
    if (membership.isPresent()) {
      return membership.get();
    }
    Optional<PeerMessage> fleet = DemandMessageCodec.unpack(type, unpacker);
    if (fleet.isPresent()) {
      return fleet.get();
    }
    return ConfigurationMessageCodec.unpack(type, unpacker)
        .orElseThrow(() -> new WeirException(ErrorCode.FRAME_INVALID, "unknown type " + type));
  }
}
