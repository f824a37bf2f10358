package org.corianderweir.logic.lookup;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ClientBlockTable}. */
public class ClientBlockTableTest {
  private static final int BLOCK_COUNT = 2_000;
  private static final int LOOKUP_COUNT = 5_000;

  @DataProvider
  public Object[][] addresses() {
    return new Object[][] {
      {"10.1.2.3", OptionalInt.of(3)},
      {"10.1.3.1", OptionalInt.of(2)},
      {"10.2.0.1", OptionalInt.of(1)},
      {"11.0.0.1", OptionalInt.of(0)},
      {"10.1.2.255", OptionalInt.of(3)},
      {"10.255.255.255", OptionalInt.of(1)},
      {"200.0.0.1", OptionalInt.empty()},
      {"255.255.255.255", OptionalInt.of(9)}
    };
  }

  @Test(dataProvider = "addresses")
  public void findsTheLongestPrefix(String address, OptionalInt expected) {
    ClientBlockTable table =
        ClientBlockTable.EMPTY.with(
            List.of(
                ClientBlock.parse("8.0.0.0/6", 0),
                ClientBlock.parse("10.0.0.0/8", 1),
                ClientBlock.parse("10.1.0.0/16", 2),
                ClientBlock.parse("10.1.2.0/24", 3),
                ClientBlock.parse("255.255.255.255/32", 9)));
    assertEquals(table.siteOf(ClientBlock.parseAddress(address).orElseThrow()), expected);
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void agreesWithASearchOfAllBlocks(long seed) {
    Random random = new Random(seed);
    List<ClientBlock> blocks = randomBlocks(random);
    ClientBlockTable table = ClientBlockTable.EMPTY.with(blocks);
    List<Integer> wrong = new ArrayList<>();
    for (int count = 0; count < LOOKUP_COUNT; count++) {
      ClientBlock near = blocks.get(random.nextInt(blocks.size()));
      int address = near.address() ^ random.nextInt() >>> random.nextInt(31) + 1;
      if (table.siteNumber(address) != siteBySearch(table, address)) {
        wrong.add(address);
      }
    }
    assertEquals(wrong, List.of(), "seed " + seed);
  }

  @Test
  public void aReplacedBlockHasItsNewSite() {
    ClientBlockTable table =
        ClientBlockTable.EMPTY
            .with(List.of(ClientBlock.parse("10.0.0.0/8", 1)))
            .with(List.of(ClientBlock.parse("10.0.0.0/8", 2)));
    assertEquals(table.blocks(10), List.of(ClientBlock.parse("10.0.0.0/8", 2)));
  }

  private static List<ClientBlock> randomBlocks(Random random) {
    List<ClientBlock> blocks = new ArrayList<>();
    for (int count = 0; count < BLOCK_COUNT; count++) {
      int prefixLength = 4 + random.nextInt(29);
      int address = (random.nextInt() & 0x0fffffff) & ClientBlock.mask(prefixLength);
      blocks.add(new ClientBlock(address, prefixLength, random.nextInt(680)));
    }
    return blocks;
  }

  private static int siteBySearch(ClientBlockTable table, int address) {
    List<ClientBlock> all = new ArrayList<>(table.shortPrefixBlocks());
    all.addAll(table.blocks(address >>> 24));
    Optional<ClientBlock> longest =
        all.stream()
            .filter(block -> block.contains(address))
            .max(Comparator.comparingInt(ClientBlock::prefixLength));
    return longest.map(ClientBlock::site).orElse(-1);
  }
}
