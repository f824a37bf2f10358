package org.corianderweir.protocol;

import java.io.IOException;
import org.corianderweir.logic.handshake.HandshakeMessage;
import org.corianderweir.logic.handshake.InitiatorHandshake;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes handshake messages as MessagePack: a type number, followed by the fields in a
 * fixed order.
 */
public final class HandshakeMessageCodec {
  /** Largest size of an encoded message in bytes. */
  public static final int MESSAGE_LIMIT_BYTES = 512;

  private static final int HELLO = 101;
  private static final int CHALLENGE = 102;
  private static final int RESPONSE = 103;
  private static final int PROOF_BYTES = 32;

  private HandshakeMessageCodec() {}

  /** Encodes a message. */
  public static byte[] encode(HandshakeMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case HandshakeMessage.Hello hello -> {
          packer.packInt(HELLO).packInt(hello.version());
          pack(packer, hello.initiator());
          packer.packString(hello.target());
          pack(packer, hello.nonce());
        }
        case HandshakeMessage.Challenge challenge -> {
          packer.packInt(CHALLENGE);
          pack(packer, challenge.responder());
          pack(packer, challenge.nonce());
          pack(packer, challenge.proof());
        }
        case HandshakeMessage.Response response -> {
          packer.packInt(RESPONSE);
          pack(packer, response.proof());
        }
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
  public static HandshakeMessage decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      HandshakeMessage message = unpack(unpacker);
      if (unpacker.hasNext()) {
        throw new WeirException(ErrorCode.FRAME_INVALID, "bytes after the handshake message");
      }
      return message;
    } catch (IOException | MessagePackException failure) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "not a handshake message", failure);
    }
  }

  private static HandshakeMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case HELLO ->
          new HandshakeMessage.Hello(
              unpacker.unpackInt(),
              unpackIdentity(unpacker),
              unpacker.unpackString(),
              unpackBytes(unpacker, InitiatorHandshake.NONCE_BYTES));
      case CHALLENGE ->
          new HandshakeMessage.Challenge(
              unpackIdentity(unpacker),
              unpackBytes(unpacker, InitiatorHandshake.NONCE_BYTES),
              unpackBytes(unpacker, PROOF_BYTES));
      case RESPONSE -> new HandshakeMessage.Response(unpackBytes(unpacker, PROOF_BYTES));
      default ->
          throw new WeirException(
              ErrorCode.FRAME_INVALID, "unknown handshake message type " + type);
    };
  }

  private static void pack(MessageBufferPacker packer, PeerIdentity identity) throws IOException {
    packer.packString(identity.name()).packLong(identity.incarnation());
  }

  private static void pack(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length);
    packer.writePayload(bytes);
  }

  private static PeerIdentity unpackIdentity(MessageUnpacker unpacker) throws IOException {
    return new PeerIdentity(unpacker.unpackString(), unpacker.unpackLong());
  }

  /** Checks the length before the array is allocated, so that a peer can't exhaust the memory. */
  private static byte[] unpackBytes(MessageUnpacker unpacker, int expectedLength)
      throws IOException {
    int length = unpacker.unpackBinaryHeader();
    if (length != expectedLength) {
      throw new WeirException(
          ErrorCode.FRAME_INVALID, length + " bytes instead of " + expectedLength);
    }
    return unpacker.readPayload(length);
  }
}
