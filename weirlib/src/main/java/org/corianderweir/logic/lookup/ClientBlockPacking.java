package org.corianderweir.logic.lookup;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/**
 * Packs the client blocks with one first octet as text. The blocks are sorted by address and prefix
 * length. Each block is written as its prefix length (one byte), the difference of its address to
 * that of the previous block in units of its own block size, and its site number. The latter two
 * are variable-length integers in groups of seven bits, the lowest first. The bytes are encoded in
 * Base64.
 */
public final class ClientBlockPacking {
  private static final int VARINT_GROUP_BITS = 7;
  private static final int VARINT_GROUP_MASK = 0x7f;
  private static final int VARINT_CONTINUATION_BIT = 0x80;
  private static final int ADDRESS_BITS = 32;
  private static final int FIRST_OCTET_SHIFT_BITS = 24;

  private ClientBlockPacking() {}

  /** Packs blocks that have the same first octet. */
  public static String pack(List<ClientBlock> blocks) {
    List<ClientBlock> sorted = new ArrayList<>(blocks);
    sorted.sort(
        Comparator.comparingInt((ClientBlock block) -> block.address() ^ Integer.MIN_VALUE)
            .thenComparingInt(ClientBlock::prefixLength));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    long previous = 0;
    for (ClientBlock block : sorted) {
      long address = Integer.toUnsignedLong(block.address());
      bytes.write(block.prefixLength());
      int shift = ADDRESS_BITS - block.prefixLength();
      writeVarint(bytes, (address >>> shift) - (previous >>> shift));
      writeVarint(bytes, block.site());
      previous = address;
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray());
  }

  /**
   * Unpacks blocks.
   *
   * @param firstOctet first octet that all blocks must have
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the text is malformed or a
   *     block has another first octet
   */
  public static List<ClientBlock> unpack(int firstOctet, String packed) {
    Reader reader = new Reader(decode(packed));
    List<ClientBlock> blocks = new ArrayList<>();
    long previous = 0;
    while (reader.hasNext()) {
      int prefixLength = reader.readByte();
      if (prefixLength < Byte.SIZE || prefixLength > ADDRESS_BITS) {
        throw invalid("prefix length " + prefixLength);
      }
      int shift = ADDRESS_BITS - prefixLength;
      long address = (previous >>> shift) + reader.readVarint() << shift;
      if (address >>> FIRST_OCTET_SHIFT_BITS != firstOctet) {
        throw invalid("an address outside its octet");
      }
      blocks.add(new ClientBlock((int) address, prefixLength, (int) reader.readVarint()));
      previous = address;
    }
    return blocks;
  }

  private static byte[] decode(String packed) {
    try {
      return Base64.getDecoder().decode(packed);
    } catch (IllegalArgumentException notBase64) {
      throw invalid("not Base64");
    }
  }

  private static void writeVarint(ByteArrayOutputStream bytes, long number) {
    long rest = number;
    while (rest > VARINT_GROUP_MASK) {
      bytes.write((int) (rest & VARINT_GROUP_MASK) | VARINT_CONTINUATION_BIT);
      rest >>>= VARINT_GROUP_BITS;
    }
    bytes.write((int) rest);
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, "packed client blocks: " + message);
  }

  /** Reads bytes and variable-length integers in order. */
  private static final class Reader {
    private final byte[] bytes;
    private int position;

    Reader(byte[] bytes) {
      this.bytes = bytes;
    }

    boolean hasNext() {
      return position < bytes.length;
    }

    int readByte() {
      if (!hasNext()) {
        throw invalid("truncated");
      }
      return Byte.toUnsignedInt(bytes[position++]);
    }

    long readVarint() {
      long number = 0;
      for (int shift = 0; shift <= ADDRESS_BITS; shift += VARINT_GROUP_BITS) {
        int group = readByte();
        number |= (long) (group & VARINT_GROUP_MASK) << shift;
        if ((group & VARINT_CONTINUATION_BIT) == 0) {
          return number;
        }
      }
      throw invalid("a number is too long");
    }
  }
}
