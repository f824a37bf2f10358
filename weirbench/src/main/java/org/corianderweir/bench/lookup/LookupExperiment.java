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

/** Measures the memory of client blocks, their size in the store, and the time to load them. */
public final class LookupExperiment {
  private static final int OCTETS = 256;
  private static final int GARBAGE_COLLECTIONS = 4;
  private static final long PAUSE_MILLISECONDS = 100;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final int blocks;
  private final long seed;
  private final PrintStream output;

  /** Prepares a run. */
  public LookupExperiment(int blocks, long seed, PrintStream output) {
    this.blocks = blocks;
    this.seed = seed;
    this.output = output;
  }

  /** Runs the experiment and prints its figures. */
  public int run() throws InterruptedException {
    long empty = usedBytes();
    List<ClientBlockChunk> chunks = chunks();
    long packedBytes = chunks.stream().mapToLong(chunk -> chunk.packed().length()).sum();
    long largest = chunks.stream().mapToLong(chunk -> chunk.packed().length()).max().orElse(0);
    long withChunks = usedBytes();
    Configuration configuration = Configuration.builder().clientBlocks(chunks).build();
    long begin = System.nanoTime();
    LookupDirectory directory = LookupDirectory.EMPTY.updated(configuration);
    double loadMilliseconds = (System.nanoTime() - begin) / NANOSECONDS_PER_MILLISECOND;
    long withTable = usedBytes();
    output.printf("blocks: %d (seed %d)%n", directory.size(), seed);
    output.printf(
        "packed: %.2f bytes per block, largest chunk %d bytes%n",
        (double) packedBytes / blocks, largest);
    output.printf("heap of packed chunks: %.2f MB%n", (withChunks - empty) / 1e6);
    output.printf(
        "heap of table: %.2f MB, %.2f bytes per block%n",
        (withTable - withChunks) / 1e6, (double) (withTable - withChunks) / blocks);
    output.printf("time to load all chunks: %.0f ms%n", loadMilliseconds);
    return directory.size() == blocks ? 0 : 1;
  }

  private List<ClientBlockChunk> chunks() {
    ClientBlockTable table =
        ClientBlockTable.EMPTY.with(new ClientBlockGenerator(seed).blocks(blocks));
    List<ClientBlockChunk> chunks = new ArrayList<>();
    for (int octet = 0; octet < OCTETS; octet++) {
      List<ClientBlock> part = table.blocks(octet);
      if (!part.isEmpty()) {
        chunks.add(new ClientBlockChunk(octet, ClientBlockPacking.pack(part)));
      }
    }
    return chunks;
  }

  private static long usedBytes() throws InterruptedException {
    for (int count = 0; count < GARBAGE_COLLECTIONS; count++) {
      System.gc();
      Thread.sleep(PAUSE_MILLISECONDS);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
