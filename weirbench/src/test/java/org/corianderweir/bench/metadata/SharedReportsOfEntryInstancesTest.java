package org.corianderweir.bench.metadata;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.testng.annotations.Test;

/** Tests the sharing of server reports by two whole entry instances of one zone. */
public class SharedReportsOfEntryInstancesTest {
  private static final Pattern APPLIED =
      Pattern.compile("corianderweir_reports_applied_total (\\d+)");
  private static final int ROUND_COUNT = 30;

  /** Longer than half a second, so that two servers are heard less than once a second each. */
  private static final long ROUND_MILLISECONDS = 700;

  /** The exchange was not connected to the transport, the timer or the view of the fleet. */
  @Test
  public void eachInstanceAppliesWhatTheOtherHeard() throws Exception {
    try (EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource());
        EntryInstanceFixture.Newcomer newcomer = fixture.startAnother()) {
      newcomer.awaitReady();
      // Loads without a speed are shared only while a route has large requests.
      fixture
          .store()
          .put("op/config", StoreValues.configuration(2, 1_000).replace("unsafe", "upload"));
      List<EntrySettings> instances = List.of(fixture.settings(), newcomer.settings());
      for (int round = 0; round < ROUND_COUNT && !allApplied(fixture, instances); round++) {
        for (EntrySettings instance : instances) {
          assertEquals(request(fixture, instance, round), 200);
        }
        TimeUnit.MILLISECONDS.sleep(ROUND_MILLISECONDS);
      }
      assertTrue(allApplied(fixture, instances), "reports applied by both");
    }
  }

  private static boolean allApplied(EntryInstanceFixture fixture, List<EntrySettings> instances)
      throws Exception {
    for (EntrySettings instance : instances) {
      HttpAddress address = new HttpAddress(EntryInstanceFixture.HOST, instance.metricsPort());
      String metrics =
          fixture
              .caller()
              .exchange(
                  address, HttpRequest.of("GET", "/metrics"), EntryInstanceFixture.REQUEST_TIMEOUT)
              .get(20, TimeUnit.SECONDS)
              .bodyText();
      Matcher applied = APPLIED.matcher(metrics);
      if (!applied.find() || Long.parseLong(applied.group(1)) == 0) {
        return false;
      }
    }
    return true;
  }

  private static int request(EntryInstanceFixture fixture, EntrySettings instance, int round)
      throws Exception {
    HttpHeaders headers =
        HttpHeaders.NONE
            .with("Host", "rota.example")
            .with("Request-Id", instance.name() + "-" + round)
            .with("X-Api-Key", "key-1");
    return fixture
        .caller()
        .exchange(
            instance.callerAddress(),
            new HttpRequest("GET", "/read/x", headers, new byte[0]),
            EntryInstanceFixture.REQUEST_TIMEOUT)
        .get(20, TimeUnit.SECONDS)
        .status();
  }
}
