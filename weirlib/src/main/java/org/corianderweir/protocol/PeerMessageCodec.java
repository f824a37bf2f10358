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
 * Encodes and decodes peer messages as MessagePack: a type number, followed by the fields in a
 * fixed order. Each family of messages has its own codec and its own range of type numbers. Numbers
 * of removed messages are never reused.
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
        case DemandMessage demand -> DemandMessageCodec.pack(packer, demand);
        case ServerReportMessage report -> ServerReportMessageCodec.pack(packer, report);
        case StoreRelayMessage relay -> StoreRelayMessageCodec.pack(packer, relay);
      }
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws WeirException with code {@code FRAME_INVALID} if the bytes are not exactly one message
   */
  public static PeerMessage decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      PeerMessage message = unpack(unpacker);
      if (unpacker.hasNext()) {
        throw new WeirException(ErrorCode.FRAME_INVALID, "bytes after the peer message");
      }
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException failure) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "not a peer message", failure);
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
    Optional<PeerMessage> demand = DemandMessageCodec.unpack(type, unpacker);
    if (demand.isPresent()) {
      return demand.get();
    }
    Optional<PeerMessage> report = ServerReportMessageCodec.unpack(type, unpacker);
    if (report.isPresent()) {
      return report.get();
    }
    Optional<PeerMessage> relay = StoreRelayMessageCodec.unpack(type, unpacker);
    if (relay.isPresent()) {
      return relay.get();
    }
    return ConfigurationMessageCodec.unpack(type, unpacker)
        .orElseThrow(
            () -> new WeirException(ErrorCode.FRAME_INVALID, "unknown message type " + type));
  }
}
