package org.corianderweir.bench.lookup;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.logic.lookup.ClientBlockTable;
import org.corianderweir.logic.lookup.LookupDirectory;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;

/**
 * Measures how much memory client blocks need, their size in the store, and the time to load them.
 */
public final class LookupExperiment {
  private static final int FIRST_OCTET_COUNT = 256;
  private static final int GARBAGE_COLLECTION_COUNT = 4;
  private static final long GARBAGE_COLLECTION_PAUSE_MILLISECONDS = 100;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final int blockCount;
  private final long seed;
  private final PrintStream output;

  /** Prepares a run with the given number of generated client blocks. */
  public LookupExperiment(int blockCount, long seed, PrintStream output) {
    this.blockCount = blockCount;
    this.seed = seed;
    this.output = output;
  }

  /**
   * Runs the experiment and prints its measurements.
   *
   * @return zero if the table holds all client blocks, otherwise one
   */
  public int run() throws InterruptedException {
    long emptyBytes = usedBytes();
    List<ClientBlockChunk> chunks = chunks();
    long packedBytes = chunks.stream().mapToLong(chunk -> chunk.packed().length()).sum();
    long largestBytes = chunks.stream().mapToLong(chunk -> chunk.packed().length()).max().orElse(0);
    long bytesWithChunks = usedBytes();
    Configuration configuration = Configuration.builder().clientBlocks(chunks).build();
    long beginNanoseconds = System.nanoTime();
    LookupDirectory directory = LookupDirectory.EMPTY.withConfiguration(configuration);
    double loadMilliseconds = (System.nanoTime() - beginNanoseconds) / NANOSECONDS_PER_MILLISECOND;
    long bytesWithTable = usedBytes();
    output.printf("blocks: %d (seed %d)%n", directory.size(), seed);
    output.printf(
        "packed: %.2f bytes per block, largest chunk %d bytes%n",
        (double) packedBytes / blockCount, largestBytes);
    output.printf("heap of packed chunks: %.2f MB%n", (bytesWithChunks - emptyBytes) / 1e6);
    output.printf(
        "heap of table: %.2f MB, %.2f bytes per block%n",
        (bytesWithTable - bytesWithChunks) / 1e6,
        (double) (bytesWithTable - bytesWithChunks) / blockCount);
    output.printf("time to load all chunks: %.0f ms%n", loadMilliseconds);
    return directory.size() == blockCount ? 0 : 1;
  }

  private List<ClientBlockChunk> chunks() {
    ClientBlockTable table =
        ClientBlockTable.EMPTY.with(new ClientBlockGenerator(seed).blocks(blockCount));
    List<ClientBlockChunk> chunks = new ArrayList<>();
    for (int octet = 0; octet < FIRST_OCTET_COUNT; octet++) {
      List<ClientBlock> octetBlocks = table.blocks(octet);
      if (!octetBlocks.isEmpty()) {
        chunks.add(new ClientBlockChunk(octet, ClientBlockPacking.pack(octetBlocks)));
      }
    }
    return chunks;
  }

  private static long usedBytes() throws InterruptedException {
    for (int count = 0; count < GARBAGE_COLLECTION_COUNT; count++) {
      System.gc();
      Thread.sleep(GARBAGE_COLLECTION_PAUSE_MILLISECONDS);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
