package org.corianderweir.bench.metadata;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.protocol.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@code weirctl explain request} against a whole entry instance. */
public class ExplainRequestTest {
  private static final String SAMPLE = "--host rota.example --path /read/x";

  private EntryInstanceFixture fixture;

  @BeforeClass
  public void start() throws Exception {
    fixture = new EntryInstanceFixture(new SystemTimeSource());
  }

  @AfterClass
  public void stop() throws Exception {
    fixture.close();
  }

  /** Nothing may be sent to a server, and the key may not be shown. */
  @Test
  public void requestIsExplainedButNotSent() {
    ControlRun text = run(SAMPLE + " --key key-1 --object o-1 --deadline 900", true);
    assertEquals(text.status(), ExitStatus.OK, text.errors());
    assertTrue(text.output().contains("organisation: club"), text.output());
    assertTrue(text.output().contains("admission: admitted"), text.output());
    assertTrue(text.output().contains("lowest expected latency"), text.output());
    assertTrue(text.output().contains("outcome: sent to server-"), text.output());
    ControlRun json = run(SAMPLE + " --key key-1 --object o-1 --output json", true);
    RequestExplanation explanation = Json.read(json.output(), RequestExplanation.class);
    assertEquals(explanation.candidates().size(), 2);
    assertEquals(explanation.outcome().decision(), "send");
    assertFalse((text.output() + json.output()).contains("key-1"));
    fixture.servers().forEach(server -> assertEquals(server.executedRequests().size(), 0));
  }

  @DataProvider
  public Object[][] rejections() {
    return new Object[][] {
      {"--host other.example --path /read/x --key key-1", "rejected with 404, NO_ROUTE"},
      {SAMPLE, "rejected with 401, KEY_UNKNOWN"},
      {SAMPLE + " --key key-9", "rejected with 401, KEY_UNKNOWN"},
      {SAMPLE + " --key key-1 --body-bytes 999999999", "rejected with 413, BODY_TOO_LARGE"},
      {SAMPLE + " --key key-1 --deadline 5", "rejected with 503, TOO_LATE"}
    };
  }

  @Test(dataProvider = "rejections")
  public void rejectionsHaveTheirStatus(String arguments, String expected) {
    ControlRun run = run(arguments, true);
    assertEquals(run.status(), ExitStatus.OK, run.errors());
    assertTrue(run.output().contains("outcome: " + expected), run.output());
  }

  @DataProvider
  public Object[][] failures() {
    return new Object[][] {
      {SAMPLE + " --region nowhere", true, ExitStatus.USAGE},
      {SAMPLE + " --body-bytes -1", true, ExitStatus.USAGE},
      {SAMPLE + " --deadline 0", true, ExitStatus.USAGE},
      {SAMPLE + " --method a:b", true, ExitStatus.USAGE},
      {"--host rota.example --path read", true, ExitStatus.USAGE},
      {"--host rota.example", true, ExitStatus.USAGE},
      {SAMPLE, false, ExitStatus.USAGE},
      {SAMPLE + " --at nowhere", false, ExitStatus.USAGE},
      {SAMPLE + " --at 127.0.0.1:1", false, ExitStatus.UNREACHABLE}
    };
  }

  @Test(dataProvider = "failures")
  public void failuresHaveTheirExitStatus(
      String arguments, boolean atInstance, ExitStatus expected) {
    ControlRun run = run(arguments, atInstance);
    assertEquals(run.status(), expected, run.errors());
    assertEquals(run.output(), "");
  }

  private ControlRun run(String arguments, boolean atInstance) {
    String address = EntryInstanceFixture.HOST + ":" + fixture.settings().metricsPort();
    return ControlRun.of("explain request " + arguments + (atInstance ? " --at " + address : ""));
  }
}
