package org.corianderweir.logic.configuration;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.corianderweir.logic.configuration.ConfigurationProblem.Type;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Site;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ClientBlockValidator}. */
public class ClientBlockValidatorTest {
  private static final Site SITE = new Site(3, "ikeja", "lagos-1");
  private static final String PACKED =
      ClientBlockPacking.pack(List.of(ClientBlock.parse("10.0.0.0/8", 3)));
  private static final ClientBlockChunk CHUNK = new ClientBlockChunk(10, PACKED);

  @DataProvider
  public Object[][] configurations() {
    return new Object[][] {
      {List.of(SITE), List.of(CHUNK), List.of()},
      {List.of(), List.of(CHUNK), List.of(Type.SITE_UNKNOWN)},
      {List.of(SITE), List.of(CHUNK, CHUNK), List.of(Type.NAME_INVALID)},
      {List.of(SITE), List.of(new ClientBlockChunk(11, PACKED)), List.of(Type.VALUE_MALFORMED)},
      {List.of(SITE), List.of(new ClientBlockChunk(256, PACKED)), List.of(Type.VALUE_MALFORMED)},
      {List.of(SITE), List.of(new ClientBlockChunk(10, "%")), List.of(Type.VALUE_MALFORMED)},
      {List.of(SITE, new Site(3, "yaba", "lagos-1")), List.of(), List.of(Type.NAME_INVALID)},
      {List.of(new Site(-1, "yaba", "lagos-1")), List.of(), List.of(Type.VALUE_MALFORMED)},
      {List.of(new Site(0, "yaba", "nowhere")), List.of(), List.of(Type.ZONE_UNKNOWN)}
    };
  }

  @Test(dataProvider = "configurations")
  public void namesTheRulesThatAreBroken(
      List<Site> sites, List<ClientBlockChunk> chunks, List<Type> expected) {
    Configuration configuration =
        Configuration.builder()
            .zones(List.of(new AvailabilityZone("lagos-1", "lagos", List.of())))
            .sites(sites)
            .clientBlocks(chunks)
            .build();
    List<Type> types =
        ClientBlockValidator.validate(configuration).stream()
            .map(ConfigurationProblem::type)
            .toList();
    assertEquals(types, expected);
  }
}
