package org.corianderweir.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationDocuments}. */
public class ConfigurationDocumentsTest {
  private static final long SEED = 4L;

  private static Configuration configuration(int keyCount, int omittedKey) {
    List<AccessKey> accessKeys = new ArrayList<>();
    for (int number = 0; number < keyCount; number++) {
      if (number != omittedKey) {
        accessKeys.add(new AccessKey("key-" + number, "adebayo", "0011", "ab".repeat(32)));
      }
    }
    return Configuration.builder()
        .revision(7)
        .operation("entry-1/5")
        .keys(accessKeys)
        .selectors(List.of(new Selector("shop", "/shop", "storefront", true, List.of())))
        .build();
  }

  private static ConfigurationBundle split(Configuration configuration) {
    AcceptedChange change = new AcceptedChange(7, "entry-1/5", "a change", 9);
    return ConfigurationDocuments.split(configuration, change, List.of());
  }

  /** Numbers of keys that give no item, one chunk, and many chunks of more than one megabyte. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{0}, {3}, {20_000}};
  }

  @Test(dataProvider = "sizes")
  public void assemblesWhatWasSplit(int keyCount) {
    Configuration configuration = configuration(keyCount, -1);
    ConfigurationBundle bundle = split(configuration);
    Configuration assembled =
        ConfigurationDocuments.assemble(
            ConfigurationDocuments.readIndex(bundle.head(), bundle.indexText()),
            hash -> Optional.ofNullable(bundle.documentsByHash().get(hash)));
    assertEquals(assembled, configuration);
  }

  @Test
  public void oneWithdrawnKeyChangesFewDocuments() {
    Set<String> before = split(configuration(20_000, -1)).documentsByHash().keySet();
    Set<String> changed =
        new HashSet<>(split(configuration(20_000, 9_000)).documentsByHash().keySet());
    changed.removeAll(before);
    assertEquals(changed.size() <= 2, true, changed.size() + " of " + before.size());
  }

  @Test
  public void rejectsDocumentWhoseHashDiffers() {
    ConfigurationBundle bundle = split(configuration(3, -1));
    assertThrows(
        WeirException.class,
        () -> ConfigurationDocuments.assemble(bundle.index(), hash -> Optional.of("[{\"a\":1}]")));
  }

  @Test
  public void rejectsIndexWhoseHashDiffers() {
    ConfigurationBundle bundle = split(configuration(3, -1));
    assertThrows(
        WeirException.class,
        () -> ConfigurationDocuments.readIndex(bundle.head(), bundle.indexText() + " "));
  }

  /** A corrupted index is either parsed or rejected with a typed error; nothing else is thrown. */
  @Test
  public void refusesDamagedTexts() {
    Random random = new Random(SEED);
    String original = Json.write(split(configuration(3, -1)).index());
    for (int round = 0; round < 3_000; round++) {
      StringBuilder corrupted = new StringBuilder(original);
      corrupted.setCharAt(random.nextInt(original.length()), (char) (32 + random.nextInt(95)));
      String text = corrupted.substring(0, 1 + random.nextInt(original.length()));
      try {
        Json.read(text, org.corianderweir.model.configuration.ConfigurationIndex.class);
      } catch (WeirException failure) {
        assertEquals(failure.code(), org.corianderweir.model.ErrorCode.JSON_INVALID);
      }
    }
  }
}
