package org.corianderweir.bench.lookup;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.logic.lookup.ClientBlockTable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time and allocation of a look-up and of a change of one chunk. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class LookupBenchmark {
  private static final int ADDRESS_COUNT = 1 << 16;
  private static final long SEED = 1;

  /** Number of client blocks in the table. */
  @Param({"100000", "2500000"})
  public int blocks;

  private final int[] addresses = new int[ADDRESS_COUNT];
  private ClientBlockTable table = ClientBlockTable.EMPTY;
  private String packed = "";
  private int nextIndex;

  /** Fills the table with client blocks and draws the addresses to look up. */
  @Setup
  public void fill() {
    ClientBlockGenerator generator = new ClientBlockGenerator(SEED);
    List<ClientBlock> generated = generator.blocks(blocks);
    table = ClientBlockTable.EMPTY.with(generated);
    packed = ClientBlockPacking.pack(table.blocks(100));
    for (int index = 0; index < ADDRESS_COUNT; index++) {
      addresses[index] = generator.address();
    }
  }

  /** Measures the look-up of a random address. */
  @Benchmark
  public int lookUp() {
    nextIndex = nextIndex + 1 & ADDRESS_COUNT - 1;
    return table.siteNumber(addresses[nextIndex]);
  }

  /** Measures unpacking a changed chunk and replacing it in the table. */
  @Benchmark
  public ClientBlockTable changeChunk() {
    return table.withShard(100, ClientBlockPacking.unpack(100, packed));
  }
}
