package org.corianderweir.http;

import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;

/** Reads a chunked body (RFC 9112, section 7.1); trailer fields are checked and dropped. */
final class ChunkedBodyReader {
  private static final byte[] NONE = new byte[0];

  private final MessageLines lines = new MessageLines(ResponseReader.HEAD_LIMIT_BYTES);
  private Stage stage = Stage.SIZE;
  private long dataRemainingBytes;

  private enum Stage {
    SIZE,
    DATA,
    END_OF_DATA,
    TRAILER,
    ENDED
  }

  /** Returns whether the last chunk and the trailer fields were read. */
  boolean hasEnded() {
    return stage == Stage.ENDED;
  }

  /**
   * Reads on to the next part of the body, which is empty at the end of the body.
   *
   * @return null if more bytes are needed
   */
  byte @Nullable [] next(ByteBuffer bytes) throws MalformedResponseException {
    while (stage != Stage.ENDED) {
      if (stage == Stage.DATA) {
        return bytes.hasRemaining() ? takeData(bytes) : null;
      }
      String line = lines.next(bytes);
      if (line == null) {
        return null;
      }
      onLine(line);
    }
    return NONE;
  }

  private byte[] takeData(ByteBuffer bytes) {
    byte[] part = new byte[(int) Math.min(bytes.remaining(), dataRemainingBytes)];
    bytes.get(part);
    dataRemainingBytes -= part.length;
    if (dataRemainingBytes == 0) {
      stage = Stage.END_OF_DATA;
    }
    return part;
  }

  private void onLine(String line) throws MalformedResponseException {
    switch (stage) {
      case SIZE -> {
        dataRemainingBytes = ChunkSizeLine.parse(line);
        lines.restartCount();
        stage = dataRemainingBytes > 0 ? Stage.DATA : Stage.TRAILER;
      }
      case END_OF_DATA -> {
        if (!line.isEmpty()) {
          throw new MalformedResponseException("bytes follow the data of a chunk");
        }
        stage = Stage.SIZE;
      }
      case TRAILER -> {
        if (line.isEmpty()) {
          stage = Stage.ENDED;
        } else {
          ResponseHeadReader.parseField(line);
        }
      }
      default -> throw new IllegalStateException("no line is expected");
    }
  }
}
