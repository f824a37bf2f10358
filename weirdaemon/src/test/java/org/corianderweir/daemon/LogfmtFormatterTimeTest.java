package org.corianderweir.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against times that differ from those of {@link Instant#toString}. */
public class LogfmtFormatterTimeTest {
  @DataProvider
  public Object[][] times() {
    return new Object[][] {
      {"1970-01-01T00:00:00Z"},
      {"2026-12-06T23:59:59Z"},
      {"2026-12-06T23:59:59.007Z"},
      {"2026-12-06T23:59:59.120Z"},
      {"2026-12-06T23:59:59.000040Z"},
      {"2026-12-06T23:59:59.000000009Z"},
      {"2027-01-01T00:00:00.999999999Z"}
    };
  }

  @Test(dataProvider = "times")
  public void timeIsWrittenAsByInstant(String text) {
    LogRecord record = new LogRecord(Level.INFO, "event=WEIR-1001");
    LogfmtFormatter formatter = new LogfmtFormatter();
    record.setInstant(Instant.parse("2026-12-06T23:59:59.5Z"));
    formatter.format(record);
    record.setInstant(Instant.parse(text));
    String line = formatter.format(record);
    assertEquals(line.substring(0, line.indexOf(' ')), "time=" + text);
  }
}
