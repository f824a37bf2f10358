package org.corianderweir.daemon;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit statuses of {@link DaemonMain} that don't need a running daemon. */
public class DaemonMainTest {
  @DataProvider
  public Object[][] arguments() {
    return new Object[][] {
      {"--help", 0},
      {"--describe-settings", 0},
      {"--check", 2},
      {"--no-such-option", 2},
      {"--settings no-such-file.ini", 2},
      {"--settings no-such-file.ini --check", 2}
    };
  }

  @Test(dataProvider = "arguments")
  public void returnsTheExitStatus(String arguments, int expected) {
    assertEquals(DaemonMain.run(arguments.split(" ")), expected);
  }
}
