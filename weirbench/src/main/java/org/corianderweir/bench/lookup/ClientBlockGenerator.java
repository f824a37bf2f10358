package org.corianderweir.bench.lookup;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.corianderweir.logic.lookup.ClientBlock;

/**
 * Generates random client blocks over the whole IPv4 address space, with prefix lengths from 16 to
 * 28 bits, most of them 24.
 */
public final class ClientBlockGenerator {
  private static final int SITE_COUNT = 680;
  private static final int COMMON_PREFIX_LENGTH = 24;
  private static final int MINIMUM_PREFIX_LENGTH = 16;
  private static final int PREFIX_LENGTH_COUNT = 13;
  private static final double COMMON_PREFIX_RATIO = 0.6;

  private final UniformRandomProvider random;

  /** Creates a generator. Equal seeds give equal blocks. */
  public ClientBlockGenerator(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Generates the given number of blocks with distinct prefixes. */
  public List<ClientBlock> blocks(int count) {
    Set<Long> prefixes = new HashSet<>(count * 2);
    List<ClientBlock> blocks = new ArrayList<>(count);
    while (blocks.size() < count) {
      ClientBlock block = block();
      if (prefixes.add((long) block.address() << Byte.SIZE | block.prefixLength())) {
        blocks.add(block);
      }
    }
    return blocks;
  }

  /** Generates one block. Its prefix may equal that of an earlier block. */
  public ClientBlock block() {
    int prefixLength =
        random.nextDouble() < COMMON_PREFIX_RATIO
            ? COMMON_PREFIX_LENGTH
            : MINIMUM_PREFIX_LENGTH + random.nextInt(PREFIX_LENGTH_COUNT);
    int address = random.nextInt() & -1 << Integer.SIZE - prefixLength;
    return new ClientBlock(address, prefixLength, random.nextInt(SITE_COUNT));
  }

  /** Generates a random IPv4 address. */
  public int address() {
    return random.nextInt();
  }
}
