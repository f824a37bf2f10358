package org.corianderweir.protocol;

import java.io.IOException;
import java.util.Optional;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes configuration messages, which have type numbers 20 to 29. */
final class ConfigurationMessageCodec {
  private static final int INDEX_REQUEST = 20;
  private static final int INDEX_RESPONSE = 21;
  private static final int DOCUMENT_REQUEST = 22;
  private static final int DOCUMENT_RESPONSE = 23;
  private static final int REVISION_ANNOUNCEMENT = 24;

  private ConfigurationMessageCodec() {}

  static void pack(MessagePacker packer, ConfigurationMessage message) throws IOException {
    switch (message) {
      case ConfigurationMessage.RevisionAnnouncement announcement ->
          packer.packInt(REVISION_ANNOUNCEMENT).packLong(announcement.revision());
      case ConfigurationMessage.IndexRequest request ->
          packer.packInt(INDEX_REQUEST).packLong(request.knownRevision());
      case ConfigurationMessage.IndexResponse response ->
          packer
              .packInt(INDEX_RESPONSE)
              .packLong(response.head().revision())
              .packString(response.head().operation())
              .packString(response.head().indexHash())
              .packString(response.indexText());
      case ConfigurationMessage.DocumentRequest request ->
          packer.packInt(DOCUMENT_REQUEST).packString(request.hash());
      case ConfigurationMessage.DocumentResponse response ->
          packer.packInt(DOCUMENT_RESPONSE).packString(response.text());
    }
  }

  /** Decodes a message; returns empty if this codec does not know the type number. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case REVISION_ANNOUNCEMENT ->
          Optional.of(new ConfigurationMessage.RevisionAnnouncement(unpacker.unpackLong()));
      case INDEX_REQUEST ->
          Optional.of(new ConfigurationMessage.IndexRequest(unpacker.unpackLong()));
      case INDEX_RESPONSE ->
          Optional.of(
              new ConfigurationMessage.IndexResponse(
                  new ConfigurationHead(
                      unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackString()),
                  unpacker.unpackString()));
      case DOCUMENT_REQUEST ->
          Optional.of(new ConfigurationMessage.DocumentRequest(unpacker.unpackString()));
      case DOCUMENT_RESPONSE ->
          Optional.of(new ConfigurationMessage.DocumentResponse(unpacker.unpackString()));
      default -> Optional.empty();
    };
  }
}
