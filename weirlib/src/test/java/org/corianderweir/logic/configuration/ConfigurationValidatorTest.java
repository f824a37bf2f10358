package org.corianderweir.logic.configuration;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.function.UnaryOperator;
import org.corianderweir.logic.configuration.ConfigurationProblem.Type;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationValidator}. */
public class ConfigurationValidatorTest {
  private static final String HASH = "ab".repeat(32);
  private static final Configuration VALID =
      Configuration.builder()
          .regions(List.of(new Region("lagos", 0, List.of()), new Region("kano", 9, List.of())))
          .links(List.of(new Link("lagos", "kano", 4_000)))
          .zones(List.of(new AvailabilityZone("lagos-1", "lagos", List.of())))
          .organisations(List.of(new Organisation("adebayo", 10, 5, 0)))
          .keys(List.of(new AccessKey("k1", "adebayo", "00", HASH)))
          .backendServers(List.of(server("s1", "lagos-1", 7000, 9)))
          .selectors(List.of(new Selector("shop", "/shop", "storefront", false, List.of())))
          .build();

  private static BackendServer server(String name, String zone, int port, int slots) {
    List<Label> labels = List.of(new Label("tier", "a"), new Label("tier", "a"));
    return new BackendServer(
        name, "storefront", zone, "127.1.1.1", port, slots, 660, false, labels);
  }

  private static Selector selector(String name, String path, String service, String... allowed) {
    return new Selector(name, path, service, false, List.of(allowed));
  }

  private static Object[] row(
      UnaryOperator<Configuration.Builder> change, Type type, String subject) {
    return new Object[] {change.apply(VALID.toBuilder()).build(), type, subject};
  }

  private static Label label(String value) {
    return new Label("tier", value);
  }

  /** Configurations with one mistake each, the rule that it violates and the subject. */
  @DataProvider
  public Object[][] mistakes() {
    Organisation same = new Organisation("adebayo", 10, 5, 0);
    AvailabilityZone contradicting =
        new AvailabilityZone("lagos-1", "lagos", List.of(label("a"), label("b")));
    return new Object[][] {
      row(
          builder -> builder.selectors(List.of(selector("shop", "/", "nothing"))),
          Type.SERVICE_WITHOUT_SERVER,
          "selector shop"),
      row(
          builder -> builder.selectors(List.of(selector("shop", "/", "storefront", "nobody"))),
          Type.ORGANISATION_UNKNOWN,
          "selector shop"),
      row(
          builder ->
              builder.selectors(
                  List.of(selector("x", "/", "storefront"), selector("y", "/", "storefront"))),
          Type.PATH_AMBIGUOUS,
          "selector y"),
      row(
          builder -> builder.selectors(List.of(selector("shop", "shop", "storefront"))),
          Type.VALUE_MALFORMED,
          "selector shop"),
      row(
          builder -> builder.organisations(List.of(new Organisation("adebayo", 0, 5, 0))),
          Type.LIMIT_INVALID,
          "organisation adebayo"),
      row(
          builder -> builder.organisations(List.of(new Organisation("adebayo", Double.NaN, 5, 0))),
          Type.LIMIT_INVALID,
          "organisation adebayo"),
      row(
          builder -> builder.organisations(List.of(new Organisation("adebayo", 10, 0, 0))),
          Type.LIMIT_INVALID,
          "organisation adebayo"),
      row(
          builder -> builder.organisations(List.of(new Organisation("adebayo", 10, 5, -1))),
          Type.LIMIT_INVALID,
          "organisation adebayo"),
      row(
          builder -> builder.organisations(List.of(same, same)),
          Type.NAME_INVALID,
          "organisation adebayo"),
      row(builder -> builder.zones(List.of(contradicting)), Type.LABELS_CONTRADICT, "zone lagos-1"),
      row(
          builder -> builder.zones(List.of(new AvailabilityZone("lagos-1", "enugu", List.of()))),
          Type.REGION_UNKNOWN,
          "zone lagos-1"),
      row(
          builder -> builder.links(List.of(new Link("lagos", "kano", 0))),
          Type.LIMIT_INVALID,
          "link lagos to kano"),
      row(
          builder -> builder.keys(List.of(new AccessKey("k1", "nobody", "00", HASH))),
          Type.ORGANISATION_UNKNOWN,
          "key k1"),
      row(
          builder -> builder.keys(List.of(new AccessKey("k1", "adebayo", "00", "ab"))),
          Type.VALUE_MALFORMED,
          "key k1"),
      row(
          builder -> builder.backendServers(List.of(server("s1", "kano-1", 7000, 9))),
          Type.ZONE_UNKNOWN,
          "backend server s1"),
      row(
          builder -> builder.backendServers(List.of(server("s1", "lagos-1", 7000, 0))),
          Type.LIMIT_INVALID,
          "backend server s1"),
      row(
          builder ->
              builder.backendServers(
                  List.of(server("s1", "lagos-1", 7000, 9), server("s2", "lagos-1", 7000, 9))),
          Type.ADDRESS_AMBIGUOUS,
          "backend server s2")
    };
  }

  @Test(dataProvider = "mistakes")
  public void namesTheRuleAndTheItem(Configuration configuration, Type type, String subject) {
    List<List<Object>> found =
        ConfigurationValidator.validate(configuration).stream()
            .map(problem -> List.<Object>of(problem.type(), problem.subject()))
            .toList();
    assertEquals(found, List.of(List.of(type, subject)));
  }

  @Test
  public void acceptsAConfigurationWithoutMistakes() {
    assertEquals(ConfigurationValidator.validate(VALID), List.of());
  }
}
