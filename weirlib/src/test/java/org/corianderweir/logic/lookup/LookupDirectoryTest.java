package org.corianderweir.logic.lookup;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Site;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link LookupDirectory}. */
public class LookupDirectoryTest {
  private static final AvailabilityZone LAGOS = new AvailabilityZone("lagos-1", "lagos", List.of());
  private static final AvailabilityZone KANO = new AvailabilityZone("kano-1", "kano", List.of());
  private static final Configuration FIRST =
      Configuration.builder()
          .zones(List.of(LAGOS, KANO))
          .sites(List.of(new Site(0, "ikeja", "lagos-1"), new Site(1, "sabon-gari", "kano-1")))
          .clientBlocks(
              List.of(
                  chunk(10, ClientBlock.parse("10.0.0.0/8", 0)),
                  chunk(20, ClientBlock.parse("20.0.0.0/8", 1))))
          .build();

  @DataProvider
  public Object[][] clients() {
    return new Object[][] {
      {"10.9.9.9", Optional.of(LAGOS)},
      {"20.9.9.9", Optional.of(KANO)},
      {"30.9.9.9", Optional.empty()},
      {"not an address", Optional.empty()}
    };
  }

  @Test(dataProvider = "clients")
  public void findsTheZoneOfAClient(String client, Optional<AvailabilityZone> expected) {
    assertEquals(LookupDirectory.EMPTY.withConfiguration(FIRST).zoneOf(client), expected);
  }

  @DataProvider
  public Object[][] clientsAfterAChange() {
    return new Object[][] {{"10.9.9.9", Optional.of(KANO)}, {"20.9.9.9", Optional.empty()}};
  }

  @Test(dataProvider = "clientsAfterAChange")
  public void followsChangedAndRemovedChunks(String client, Optional<AvailabilityZone> expected) {
    Configuration changed =
        FIRST.toBuilder()
            .clientBlocks(List.of(chunk(10, ClientBlock.parse("10.0.0.0/8", 1))))
            .build();
    LookupDirectory directory =
        LookupDirectory.EMPTY.withConfiguration(FIRST).withConfiguration(changed);
    assertEquals(directory.zoneOf(client), expected);
  }

  private static ClientBlockChunk chunk(int firstOctet, ClientBlock block) {
    return new ClientBlockChunk(firstOctet, ClientBlockPacking.pack(List.of(block)));
  }
}
