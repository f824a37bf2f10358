package org.corianderweir.logic.steering.grammar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SelectorParser}: the grammar, its error messages and round trips. */
public class SelectorParserTest {
  private static final int GENERATED_SELECTOR_COUNT = 2_000;

  private static LabelCondition condition(
      LabelScope scope, String label, boolean excluded, String... values) {
    return new LabelCondition(
        scope, Optional.of(label).filter(text -> !text.isEmpty()), excluded, List.of(values));
  }

  @DataProvider
  public static Object[][] texts() {
    Selector plain = new Selector("trade", "/orders", "trade-desk", false, List.of());
    return new Object[][] {
      {"route trade path /orders to service trade-desk", plain},
      {"# all\nroute trade # name\n path /orders to service \"trade-desk\" weight 1", plain},
      {"route trade path /orders to service trade-desk open", plain.toBuilder().open(true).build()},
      {
        "route trade path /orders for organisation in (huron, adebayo) to service trade-desk"
            + " where zone.tier = \"gold\" and region != kano weight 80,"
            + " where server in (\"a 1\", b) and server.disk not in (x) weight 0"
            + " cap 2.5% per second limit concurrency 40",
        plain.toBuilder()
            .organisations(List.of("huron", "adebayo"))
            .destinations(
                List.of(
                    new Destination(
                        List.of(
                            condition(LabelScope.ZONE, "tier", false, "gold"),
                            condition(LabelScope.REGION, "", true, "kano")),
                        80),
                    new Destination(
                        List.of(
                            condition(LabelScope.SERVER, "", false, "a 1", "b"),
                            condition(LabelScope.SERVER, "disk", true, "x")),
                        0)))
            .capPerSecond(0.025)
            .concurrency(40)
            .build()
      },
    };
  }

  @Test(dataProvider = "texts")
  public void readsText(String text, Selector expected) {
    assertEquals(SelectorParser.parse(text), expected);
  }

  @DataProvider
  public static Object[][] wrongTexts() {
    String start = "route a path /a to service s ";
    return new Object[][] {
      {"", 1, 1, "read the end of the text; allowed: 'route'"},
      {"route a\n  path a", 2, 8, "read 'a'; allowed: a path that begins with /"},
      {"route a path /a of", 1, 17, "read 'of'; allowed: 'for' or 'to'"},
      {
        "route a path /a for organisation in (x y)", 1, 40, "read 'y'; allowed: ',' or ')'",
      },
      {start + "where disk = x", 1, 36, "read 'disk'; allowed: 'server', 'zone' or 'region'"},
      {start + "where zone x", 1, 41, "read 'x'; allowed: '.', '=', '!=', 'in' or 'not'"},
      {start + "where zone.a x", 1, 43, "read 'x'; allowed: '=', '!=', 'in' or 'not'"},
      {start + "where zone not x", 1, 45, "read 'x'; allowed: 'in'"},
      {start + "weight -1", 1, 37, "read '-'; allowed: " + allowedCharacters()},
      {start + "weight 1.5", 1, 37, "read '1.5'; allowed: a whole number from 0 to 1000000"},
      {start + "cap 101% per second", 1, 34, "read '101'; allowed: a percentage above 0 up to 100"},
      {
        start + "open open",
        1,
        35,
        "read 'open'; allowed: 'limit', 'cap', 'route' or the end of the text",
      },
      {
        start + "wieght 1",
        1,
        30,
        "read 'wieght'; allowed: ',', 'limit', 'cap', 'open', 'route' or the end of the text",
      },
      {
        "route a path /a for organisation in (x) to service s open",
        1,
        54,
        "read 'open'; allowed: 'limit', 'cap', 'route' or the end of the text"
            + " (a route for named organisations can't be open)",
      },
      {
        "route \"a",
        1,
        7,
        "read a text without its closing quote; allowed: a text in double quotes on one line",
      },
    };
  }

  private static String allowedCharacters() {
    return "a name, a path, a number, a text in double quotes or one of ( ) , . = != %";
  }

  @Test(dataProvider = "wrongTexts")
  public void saysWhereAndWhatIsAllowed(String text, int line, int column, String message) {
    WeirException failure = expectThrows(WeirException.class, () -> SelectorParser.parse(text));
    assertEquals(
        failure.getMessage(), "selector, line " + line + ", column " + column + ": " + message);
  }

  @DataProvider
  public static Object[][] seeds() {
    return IntStream.range(0, 4).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void readsBackWhatTheFormatterWrites(int seed) {
    Random random = new Random(seed);
    List<Selector> selectors =
        Stream.generate(() -> generated(random)).limit(GENERATED_SELECTOR_COUNT).toList();
    String text = String.join("\n", selectors.stream().map(SelectorFormatter::format).toList());
    assertEquals(SelectorParser.parseAll(text), selectors, "seed " + seed);
  }

  private static Selector generated(Random random) {
    boolean open = random.nextBoolean();
    return Selector.builder(name(random), "/" + word(random) + "/%20.x", name(random))
        .open(open)
        .organisations(open ? List.of() : list(random, 0, () -> name(random)))
        .destinations(
            list(
                random,
                1,
                () ->
                    new Destination(
                        list(random, 0, () -> generatedCondition(random)), random.nextInt(100))))
        .concurrency(random.nextInt(3))
        .capPerSecond(random.nextInt(1, 10_001) / 10_000.0)
        .build();
  }

  private static LabelCondition generatedCondition(Random random) {
    return new LabelCondition(
        LabelScope.values()[random.nextInt(3)],
        random.nextBoolean() ? Optional.of(name(random)) : Optional.empty(),
        random.nextBoolean(),
        list(random, 1, () -> name(random)));
  }

  private static <T> List<T> list(Random random, int minimum, Supplier<T> element) {
    return Stream.generate(element).limit(random.nextInt(minimum, 4)).toList();
  }

  private static String name(Random random) {
    String[] odd = {"", "a b", "\"", "\\", "\\\"", "9", "route", "where", "#", "é", ",", "a\\"};
    return random.nextInt(3) == 0 ? odd[random.nextInt(odd.length)] : word(random);
  }

  private static String word(Random random) {
    return "w" + Integer.toString(random.nextInt(1_000_000), 36) + "-x";
  }
}
