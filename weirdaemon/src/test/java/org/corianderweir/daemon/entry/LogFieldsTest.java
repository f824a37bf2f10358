package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;

import java.util.Locale;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against log lines that differ from those of {@link String#format}. */
public class LogFieldsTest {
  @DataProvider
  public Object[][] numbers() {
    return new Object[][] {
      {0.0, 1},
      {0.04, 1},
      {0.96, 1},
      {12.5, 1},
      {-3.14, 1},
      {-0.04, 1},
      {0.05, 2},
      {7.006, 2},
      {1_234.999, 2},
      {0.0071, 3},
      {Double.NaN, 1},
      {Double.POSITIVE_INFINITY, 2}
    };
  }

  @Test(dataProvider = "numbers")
  public void numberIsRoundedAsByFormat(double value, int decimalPlaces) {
    String expected = String.format(Locale.ROOT, "load=%." + decimalPlaces + "f", value);
    // A negative number that is rounded to zero has no sign here.
    assertEquals(
        new LogFields().add("load", value, decimalPlaces).toString(),
        expected.equals("load=-0.0") ? "load=0.0" : expected);
  }

  @Test
  public void fieldsAreSeparatedByOneSpace() {
    assertEquals(
        new LogFields().add("server", "a").add("send", 2).add("ran", true).toString(),
        "server=a send=2 ran=true");
  }
}
