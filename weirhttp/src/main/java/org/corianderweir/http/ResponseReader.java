package org.corianderweir.http;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Reads one response from the bytes of a connection: its start line, head, body and end (RFC 9112).
 * A response counts as whole only if each of its bytes is valid; what is lost of an answer must not
 * be taken for its end. Not thread-safe.
 */
final class ResponseReader {
  /** Largest head, with the interim responses before it; also the largest line of a body. */
  static final int HEAD_LIMIT_BYTES = 8 * 1024;

  private final ResponseHeadReader headReader;
  private @Nullable ResponseHead head;
  private @Nullable ChunkedBodyReader chunks;
  private long remainingBytes;

  /** What the bytes that were received tell. */
  sealed interface Progress {
    /** The response goes on with bytes that have not been received. */
    record Incomplete() implements Progress {}

    /**
     * A part of the body.
     *
     * @param length length of the whole body, if the head gives it
     * @param last whether the response ends with this part
     */
    @SuppressWarnings("ArrayRecordComponent")
    record BodyPart(ResponseHead head, byte[] bytes, OptionalLong length, boolean last)
        implements Progress {}

    /** The bytes are no response; nothing in them is believed. */
    record Malformed(String reason) implements Progress {}
  }

  /**
   * Creates a reader of one response.
   *
   * @param answersHeadRequest whether the response has no body because only its head is asked for
   */
  ResponseReader(boolean answersHeadRequest) {
    headReader = new ResponseHeadReader(answersHeadRequest);
  }

  /**
   * Reads on to the next part of the body. Bytes behind the last part stay in the buffer; they
   * belong to no request.
   */
  Progress read(ByteBuffer bytes) {
    try {
      if (head == null) {
        readHead(bytes);
      }
      ResponseHead present = head;
      if (present == null) {
        return new Progress.Incomplete();
      }
      return switch (present.framing()) {
        case BodyFraming.Length(long length) -> readData(present, length, bytes);
        case BodyFraming.Chunks unused ->
            readChunks(present, Objects.requireNonNull(chunks), bytes);
      };
    } catch (MalformedResponseException malformed) {
      return new Progress.Malformed("the response is malformed: " + malformed.reason());
    }
  }

  private void readHead(ByteBuffer bytes) throws MalformedResponseException {
    Optional<ResponseHead> complete = headReader.next(bytes);
    if (complete.isEmpty()) {
      return;
    }
    switch (complete.get().framing()) {
      case BodyFraming.Length(long length) -> remainingBytes = length;
      case BodyFraming.Chunks unused -> chunks = new ChunkedBodyReader();
    }
    head = complete.get();
  }

  private Progress readData(ResponseHead present, long lengthBytes, ByteBuffer bytes) {
    if (remainingBytes > 0 && !bytes.hasRemaining()) {
      return new Progress.Incomplete();
    }
    byte[] part = new byte[(int) Math.min(bytes.remaining(), remainingBytes)];
    bytes.get(part);
    remainingBytes -= part.length;
    return new Progress.BodyPart(present, part, OptionalLong.of(lengthBytes), remainingBytes == 0);
  }

  private static Progress readChunks(
      ResponseHead present, ChunkedBodyReader chunks, ByteBuffer bytes)
      throws MalformedResponseException {
    byte[] part = chunks.next(bytes);
    return part == null
        ? new Progress.Incomplete()
        : new Progress.BodyPart(present, part, OptionalLong.empty(), chunks.hasEnded());
  }
}
