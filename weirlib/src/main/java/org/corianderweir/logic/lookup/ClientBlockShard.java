package org.corianderweir.logic.lookup;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The client blocks with one first octet, in arrays sorted by address and prefix length. Each block
 * has the index of the smallest block that encloses it. To find the longest prefix of an address, a
 * binary search finds the last block that begins at or before the address, and from there the
 * enclosing blocks are followed to the first one that contains it. A block takes eleven bytes.
 * Immutable.
 */
final class ClientBlockShard {
  static final ClientBlockShard EMPTY = new ClientBlockShard(List.of());

  private static final int NOT_FOUND = -1;
  private static final int SITE_MASK = 0xffff;

  private final int[] addresses;
  private final byte[] prefixLengths;
  private final short[] sites;
  private final int[] enclosingIndexes;

  /** Creates a shard from blocks with distinct prefixes, in any order. */
  ClientBlockShard(List<ClientBlock> unsorted) {
    List<ClientBlock> blocks = new ArrayList<>(unsorted);
    blocks.sort(
        Comparator.comparingInt((ClientBlock block) -> block.address() ^ Integer.MIN_VALUE)
            .thenComparingInt(ClientBlock::prefixLength));
    int size = blocks.size();
    addresses = new int[size];
    prefixLengths = new byte[size];
    sites = new short[size];
    enclosingIndexes = new int[size];
    for (int index = 0; index < size; index++) {
      ClientBlock block = blocks.get(index);
      addresses[index] = block.address();
      prefixLengths[index] = (byte) block.prefixLength();
      sites[index] = (short) block.site();
      enclosingIndexes[index] = findEnclosing(index - 1, block.address());
    }
  }

  /** Returns the site number of the longest prefix that contains an address, or -1 if none does. */
  int siteOf(int address) {
    int found = findEnclosing(floorIndex(address), address);
    return found == NOT_FOUND ? NOT_FOUND : sites[found] & SITE_MASK;
  }

  int size() {
    return addresses.length;
  }

  List<ClientBlock> blocks() {
    List<ClientBlock> blocks = new ArrayList<>(addresses.length);
    for (int index = 0; index < addresses.length; index++) {
      blocks.add(new ClientBlock(addresses[index], prefixLengths[index], sites[index] & SITE_MASK));
    }
    return blocks;
  }

  /** Returns the first block from the start along the enclosing blocks that contains an address. */
  private int findEnclosing(int start, int address) {
    int index = start;
    while (index != NOT_FOUND
        && (address & ClientBlock.mask(prefixLengths[index])) != addresses[index]) {
      index = enclosingIndexes[index];
    }
    return index;
  }

  private int floorIndex(int address) {
    int low = 0;
    int high = addresses.length - 1;
    while (low <= high) {
      int middle = low + high >>> 1;
      if (Integer.compareUnsigned(addresses[middle], address) <= 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return high;
  }
}
