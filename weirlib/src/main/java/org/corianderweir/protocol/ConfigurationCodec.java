package org.corianderweir.protocol;

import java.io.IOException;
import java.util.Optional;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes configuration messages; type numbers 20 to 29. */
final class ConfigurationCodec {
  private static final int REQUEST = 20;
  private static final int OFFER = 21;
  private static final int DOCUMENT_REQUEST = 22;
  private static final int DOCUMENT = 23;
  private static final int NOTICE = 24;

  private ConfigurationCodec() {}

  static void pack(MessagePacker packer, ConfigurationMessage message) throws IOException {
    switch (message) {
      case ConfigurationMessage.Notice notice -> packer.packInt(NOTICE).packLong(notice.revision());
      case ConfigurationMessage.Request request ->
          packer.packInt(REQUEST).packLong(request.knownRevision());
      case ConfigurationMessage.Offer offer ->
          packer
              .packInt(OFFER)
              .packLong(offer.head().revision())
              .packString(offer.head().operation())
              .packString(offer.head().indexHash())
              .packString(offer.indexText());
      case ConfigurationMessage.DocumentRequest request ->
          packer.packInt(DOCUMENT_REQUEST).packString(request.hash());
      case ConfigurationMessage.Document document ->
          packer.packInt(DOCUMENT).packString(document.text());
    }
  }

  /** Returns a message, or nothing if the type number is not one of these. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case NOTICE -> Optional.of(new ConfigurationMessage.Notice(unpacker.unpackLong()));
      case REQUEST -> Optional.of(new ConfigurationMessage.Request(unpacker.unpackLong()));
      case OFFER ->
          Optional.of(
              new ConfigurationMessage.Offer(
                  new ConfigurationHead(
                      unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackString()),
                  unpacker.unpackString()));
      case DOCUMENT_REQUEST ->
          Optional.of(new ConfigurationMessage.DocumentRequest(unpacker.unpackString()));
      case DOCUMENT -> Optional.of(new ConfigurationMessage.Document(unpacker.unpackString()));
      default -> Optional.empty();
    };
  }
}
