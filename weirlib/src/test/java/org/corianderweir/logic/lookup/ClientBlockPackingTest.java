package org.corianderweir.logic.lookup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.corianderweir.model.WeirException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ClientBlockPacking}. */
public class ClientBlockPackingTest {
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void unpacksWhatItPacked(long seed) {
    Random random = new Random(seed);
    List<ClientBlock> blocks = new ArrayList<>();
    for (int count = 0; count < 500; count++) {
      int prefixLength = 8 + random.nextInt(25);
      int address = (200 << 24 | random.nextInt(1 << 24)) & ClientBlock.mask(prefixLength);
      blocks.add(new ClientBlock(address, prefixLength, random.nextInt(65_535)));
    }
    blocks.sort(
        Comparator.comparingInt((ClientBlock block) -> block.address() ^ Integer.MIN_VALUE)
            .thenComparingInt(ClientBlock::prefixLength));
    assertEquals(ClientBlockPacking.unpack(200, ClientBlockPacking.pack(blocks)), blocks);
  }

  @DataProvider
  public Object[][] damagedTexts() {
    String whole = ClientBlockPacking.pack(List.of(ClientBlock.parse("10.1.0.0/16", 300)));
    byte[] bytes = Base64.getDecoder().decode(whole);
    byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
    return new Object[][] {
      {10, "%%%"},
      {11, whole},
      {10, Base64.getEncoder().encodeToString(truncated)},
      {10, Base64.getEncoder().encodeToString(new byte[] {3, 1, 1})},
      {10, Base64.getEncoder().encodeToString(new byte[] {16, -1, -1, -1, -1, -1, -1, -1})}
    };
  }

  @Test(dataProvider = "damagedTexts")
  public void refusesDamagedTexts(int firstOctet, String packed) {
    assertThrows(WeirException.class, () -> ClientBlockPacking.unpack(firstOctet, packed));
  }
}
