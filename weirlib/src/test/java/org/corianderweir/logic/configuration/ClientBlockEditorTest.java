package org.corianderweir.logic.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Site;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ClientBlockEditor}. */
public class ClientBlockEditorTest {
  private static final Configuration FIRST =
      applied(
          Configuration.builder()
              .sites(List.of(new Site(0, "ikeja", "lagos-1"), new Site(1, "idle", "lagos-1")))
              .build(),
          new ClientBlockChange.SteerBlocks(List.of("10.0.0.0/8", "20.1.0.0/16"), "ikeja"));

  @DataProvider
  public Object[][] changes() {
    return new Object[][] {
      {
        new ClientBlockChange.SteerBlocks(List.of("10.0.0.0/8"), "idle"),
        List.of("10.0.0.0/8 1", "20.1.0.0/16 0")
      },
      {
        new ClientBlockChange.SteerBlocks(List.of("10.3.0.0/16"), "idle"),
        List.of("10.0.0.0/8 0", "10.3.0.0/16 1", "20.1.0.0/16 0")
      },
      {new ClientBlockChange.RemoveBlocks(List.of("20.1.0.0/16")), List.of("10.0.0.0/8 0")}
    };
  }

  @Test(dataProvider = "changes")
  public void changesOnlyTheBlocksNamed(ClientBlockChange change, List<String> expected) {
    assertEquals(texts(applied(FIRST, change)), expected);
  }

  @DataProvider
  public Object[][] invalidChanges() {
    return new Object[][] {
      {new ClientBlockChange.SteerBlocks(List.of("10.0.0.0/8"), "nowhere")},
      {new ClientBlockChange.SteerBlocks(List.of("10.0.0.1/8"), "idle")},
      {new ClientBlockChange.SteerBlocks(List.of("10.0.0.0/33"), "idle")},
      {new ClientBlockChange.SteerBlocks(List.of("8.0.0.0/6"), "idle")},
      {new ClientBlockChange.SteerBlocks(List.of("10.0.0.0"), "idle")},
      {new ClientBlockChange.SteerBlocks(List.of("10.0.0.300/32"), "idle")},
      {new ClientBlockChange.RemoveBlocks(List.of("10.9.0.0/16"))},
      {new ClientBlockChange.RemoveSite("ikeja")},
      {new ClientBlockChange.RemoveSite("nowhere")},
      {new ClientBlockChange.SetSite(new Site(0, "other", "lagos-1"))}
    };
  }

  @Test(dataProvider = "invalidChanges")
  public void refusesInvalidChanges(ClientBlockChange change) {
    assertThrows(WeirException.class, () -> applied(FIRST, change));
  }

  @Test
  public void removesASiteWithoutBlocks() {
    assertEquals(
        applied(FIRST, new ClientBlockChange.RemoveSite("idle")).sites(),
        List.of(new Site(0, "ikeja", "lagos-1")));
  }

  private static Configuration applied(Configuration current, ClientBlockChange change) {
    return ConfigurationEditor.apply(current, change, "operation");
  }

  private static List<String> texts(Configuration configuration) {
    return configuration.clientBlocks().stream()
        .flatMap(chunk -> ClientBlockPacking.unpack(chunk.firstOctet(), chunk.packed()).stream())
        .map(ClientBlockEditorTest::text)
        .toList();
  }

  private static String text(ClientBlock block) {
    return block.toCidrNotation() + " " + block.site();
  }
}
