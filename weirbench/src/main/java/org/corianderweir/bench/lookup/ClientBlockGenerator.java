package org.corianderweir.bench.lookup;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.corianderweir.logic.lookup.ClientBlock;

/**
 * Generates client blocks with prefix lengths from 16 to 28, most of them 24, over all addresses.
 */
public final class ClientBlockGenerator {
  private static final int SITE_COUNT = 680;
  private static final int COMMON_PREFIX_LENGTH = 24;
  private static final int MINIMUM_PREFIX_LENGTH = 16;
  private static final int PREFIX_LENGTH_COUNT = 13;
  private static final double COMMON_PREFIX_RATIO = 0.6;

  private final UniformRandomProvider random;

  /** Creates a generator; the same seed gives the same blocks. */
  public ClientBlockGenerator(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Returns blocks with distinct prefixes. */
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

  /** Returns one block. */
  public ClientBlock block() {
    int prefixLength =
        random.nextDouble() < COMMON_PREFIX_RATIO
            ? COMMON_PREFIX_LENGTH
            : MINIMUM_PREFIX_LENGTH + random.nextInt(PREFIX_LENGTH_COUNT);
    int address = random.nextInt() & -1 << Integer.SIZE - prefixLength;
    return new ClientBlock(address, prefixLength, random.nextInt(SITE_COUNT));
  }

  /** Returns a random address. */
  public int address() {
    return random.nextInt();
  }
}
