package org.corianderweir.bench.platform;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.Meter;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.daemon.platform.HttpPlatformService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.protocol.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the stand-in, called through its HTTP client, fulfils the contract. */
public class PlatformStandInTest extends PlatformContract {
  private static final String HOST = "127.21.0.1";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024;

  private static final AtomicInteger NEXT_PORT = new AtomicInteger(21_560);

  private HttpClient client;
  private PlatformStandIn standIn;

  private record InstanceList(List<ListedInstance> instances) {}

  @Override
  PlatformService service() {
    client = new HttpClient(new HttpClientOptions("test", TIMEOUT, TIMEOUT, RESPONSE_LIMIT_BYTES));
    client.start();
    standIn = new PlatformStandIn(HOST, nextPort(), RATES, time);
    standIn.start();
    return new HttpPlatformService(client, address(), new Meter());
  }

  /** Stops the client and the stand-in of a test. */
  @AfterMethod
  public void stop() {
    client.stop();
    standIn.stop();
  }

  @Override
  FaultInjectingPlatform faultInjection() {
    return standIn.platform();
  }

  @Override
  void setInstances(List<ListedInstance> instances) {
    call("PUT", "/instances", Json.write(new InstanceList(instances)).getBytes());
  }

  /** Over HTTP, a lost answer means that the call runs into its deadline. */
  @Override
  ErrorCode lostAnswerCode() {
    return ErrorCode.DEADLINE_EXCEEDED;
  }

  @Test
  public void anUnansweredCallTimesOut() {
    PlatformService service = new HttpPlatformService(client, address(), new Meter());
    faultInjection().setFaults(PlatformFaults.of(PlatformFaults.Outage.SILENT));
    assertEquals(failure(service.read("key")), ErrorCode.DEADLINE_EXCEEDED);
  }

  @Test
  public void anUnreachableServiceDidNothing() {
    PlatformService service =
        new HttpPlatformService(client, new HttpAddress(HOST, 1), new Meter());
    assertEquals(
        failure(service.compareAndSwap("key", 0, "value")), ErrorCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  public void faultsAreSwitchedOverHttp() {
    PlatformFaults faults = PlatformFaults.NONE.withDelayMilliseconds(5).withAnswersToLose(2);
    call("PUT", "/faults", Json.write(faults).getBytes());
    assertEquals(
        List.of(faultInjection().faults(), Json.read(get("/faults"), PlatformFaults.class)),
        List.of(faults, faults));
  }

  /** Malformed, oversized and unknown requests, and the status that answers each. */
  @DataProvider
  public Object[][] badRequests() {
    byte[] garbage = new byte[256];
    new Random(3).nextBytes(garbage);
    return new Object[][] {
      {"PUT", "/values/key?expected-version=x", garbage, 400},
      {"PUT", "/values/key", new byte[1_000_001], 413},
      {"GET", "/values/key?newer-than=x", new byte[0], 400},
      {"GET", "/values/%zz", new byte[0], 400},
      {"POST", "/leases/lease?holder=me&milliseconds=x", new byte[0], 400},
      {"PUT", "/faults", garbage, 400},
      {"PUT", "/faults", "{}".getBytes(), 400},
      {"PUT", "/instances", "{\"instances\":null}".getBytes(), 400},
      {"PATCH", "/nothing", new byte[0], 404}
    };
  }

  @Test(dataProvider = "badRequests")
  public void badRequestsAreRefused(String method, String target, byte[] body, int status) {
    assertEquals(call(method, target, body).status(), status);
  }

  private static int nextPort() {
    return NEXT_PORT.getAndIncrement();
  }

  private HttpAddress address() {
    return new HttpAddress(HOST, standIn.port());
  }

  private HttpResponse call(String method, String target, byte[] body) {
    HttpRequest request = new HttpRequest(method, target, HttpHeaders.NONE, body);
    return client.exchange(address(), request, TIMEOUT).join();
  }

  private String get(String target) {
    return call("GET", target, new byte[0]).bodyText();
  }
}
