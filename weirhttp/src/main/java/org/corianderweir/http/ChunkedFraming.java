package org.corianderweir.http;

/**
 * Finds the lines of a chunked body (RFC 9112, section 7.1) without changing a byte. The codec
 * decides what is valid; this class only tells which bytes it can use now.
 */
final class ChunkedFraming {
  private static final int RADIX = 16;
  private static final int SIZE_DIGITS_LIMIT = 8;

  private enum State {
    LINE_END_OF_DATA,
    SIZE,
    EXTENSION,
    DATA,
    TRAILER,
    END,
    INVALID
  }

  private State state = State.SIZE;
  private long dataRemainingBytes;
  private int digits;
  private int lineLength;

  boolean isAtEnd() {
    return state == State.END;
  }

  boolean isInvalid() {
    return state == State.INVALID;
  }

  /** Returns how many bytes of a chunk's data come next. */
  long dataRemainingBytes() {
    return state == State.DATA ? dataRemainingBytes : 0;
  }

  /** Goes over bytes of a chunk's data. */
  void skipData(long bytes) {
    dataRemainingBytes -= bytes;
    if (dataRemainingBytes == 0) {
      state = State.LINE_END_OF_DATA;
    }
  }

  /** Goes over a byte outside the data; returns whether the codec can use all bytes up to it. */
  boolean advance(byte next) {
    switch (state) {
      case LINE_END_OF_DATA -> advanceLineEndOfData(next);
      case SIZE -> advanceSize(next);
      case EXTENSION -> {
        if (next == '\n') {
          endSizeLine();
        }
      }
      case TRAILER -> advanceTrailer(next);
      default -> state = State.INVALID;
    }
    return state == State.DATA || state == State.END || state == State.INVALID;
  }

  private void advanceLineEndOfData(byte next) {
    if (next == '\n') {
      beginSizeLine();
    } else if (next != '\r') {
      state = State.INVALID;
    }
  }

  private void beginSizeLine() {
    state = State.SIZE;
    dataRemainingBytes = 0;
    digits = 0;
  }

  private void advanceSize(byte next) {
    int digit = Character.digit(next, RADIX);
    if (digit >= 0) {
      dataRemainingBytes = dataRemainingBytes * RADIX + digit;
      digits++;
      if (digits > SIZE_DIGITS_LIMIT) {
        state = State.INVALID;
      }
    } else if (next == '\n') {
      endSizeLine();
    } else if (next == ';') {
      state = State.EXTENSION;
    } else if (next != '\r' && next != ' ' && next != '\t') {
      state = State.INVALID;
    }
  }

  private void endSizeLine() {
    if (digits == 0) {
      state = State.INVALID;
    } else if (dataRemainingBytes > 0) {
      state = State.DATA;
    } else {
      state = State.TRAILER;
      lineLength = 0;
    }
  }

  private void advanceTrailer(byte next) {
    if (next == '\n') {
      if (lineLength == 0) {
        state = State.END;
      }
      lineLength = 0;
    } else if (next != '\r') {
      lineLength++;
    }
  }
}
