package org.corianderweir.daemon.operator;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.ConfigurationStore;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.steering.SteeringService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.ConfigurationDocuments;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.KeyMessages;
import org.corianderweir.protocol.operator.Operation;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the operators' interface with a platform service in memory. */
public class OperatorServiceTest {
  private static final String CREDENTIAL = "operators-secret";
  private static final String SECOND_ZONE =
      "{\"text\":\"route shop path / to service shop where zone = z2\"}";
  private static final Configuration FIRST =
      Configuration.builder()
          .zones(
              List.of(
                  new AvailabilityZone("z1", "lagos", List.of()),
                  new AvailabilityZone("z2", "lagos", List.of())))
          .organisations(List.of(new Organisation("club", 10, 5, 0)))
          .backendServers(List.of(server("s1", "z1", 1), server("s2", "z2", 2)))
          .selectors(
              List.of(SelectorParser.parse("route shop path / to service shop where zone = z1")))
          .build();

  private ConfigurationService configuration;
  private ControlExecutor controlExecutor;
  private OperatorService operatorService;

  private static BackendServer server(String name, String zone, int port) {
    return new BackendServer(name, "shop", zone, "127.0.0.1", port, 4, 660, false, List.of());
  }

  @BeforeMethod
  public void applyTheFirstConfiguration() {
    EntryInstance self = new EntryInstance("entry-1", "lagos", "z1", "127.0.0.1", 1, 1, 1);
    DaemonSettings settings =
        new DaemonSettings(
            self,
            new DaemonSettings.ListenPorts(1, 1),
            new HttpAddress("127.0.0.1", 1),
            CREDENTIAL,
            "peers",
            Duration.ofSeconds(1),
            1);
    SystemTimeSource time = new SystemTimeSource();
    EventLog events = new EventLog("entry-1", time);
    MetricRegistry metrics = new MetricRegistry();
    FakePlatformService platform = new FakePlatformService();
    controlExecutor = new ControlExecutor(failure -> {});
    configuration = new ConfigurationService(new ConfigurationStore(platform), events, time);
    configuration.setChangeGuardAndListener(
        () -> true,
        accepted ->
            configuration.putInForce(
                accepted,
                ConfigurationDocuments.assemble(
                    accepted.index(),
                    hash -> Optional.ofNullable(accepted.documentsByHash().get(hash)))));
    PeerTransport transport = new PeerTransport(self, 1, "peers", events, metrics, time);
    MembershipService membership =
        new MembershipService(
            self, 1, platform, controlExecutor, events, configuration, transport, time);
    SteeringService steering =
        new SteeringService("lagos", configuration, controlExecutor, events, time);
    operatorService =
        new OperatorService(
            new OperatorContext(
                settings,
                configuration,
                membership,
                steering,
                events,
                metrics,
                time,
                List::of,
                request -> {
                  throw new WeirException(ErrorCode.JSON_INVALID, request.sample().path());
                },
                () -> {}));
    assertEquals(call("PUT", "/configuration", Json.write(FIRST)).status(), 200);
  }

  @AfterMethod
  public void stopControlExecutor() {
    controlExecutor.stop();
  }

  private HttpResponse call(String method, String target, String body) {
    return call(CREDENTIAL, method, target, body);
  }

  private HttpResponse call(String credential, String method, String target, String body) {
    HttpHeaders headers = HttpHeaders.NONE.with(Operation.CREDENTIAL_HEADER, credential);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return operatorService.handle(new HttpRequest(method, target, headers, bytes)).join();
  }

  @DataProvider
  public static Object[][] statuses() {
    return new Object[][] {
      {"GET", "/status", "", 200},
      {"GET", "/nothing", "", 404},
      {"POST", "/drain?server=s1", "", 200},
      {"POST", "/drain?server=s9", "", 400},
      {"POST", "/drain", "{\"server\":\"s1\"}", 200},
      {"POST", "/drain?place=s1", "", 400},
      {"POST", "/drain?server=s1&expected-revision=7", "", 409},
      {"POST", "/drain?server=s1&expected-revision=x", "", 400},
      {"PUT", "/configuration?expected-revision=7", Json.write(FIRST), 409},
      {"POST", "/selectors/set", "{\"text\":\"rote\"}", 400},
      {"POST", "/selectors/set", SECOND_ZONE, 200},
      {"POST", "/selectors/set", SECOND_ZONE.replace("z2", "z9"), 400},
      {"POST", "/selectors/check", SECOND_ZONE, 200},
      {"POST", "/shift/pause?selector=shop", "", 400},
      {"POST", "/explain", "{\"path\":\"/a\",\"organisation\":null}", 200},
      {"GET", "/configuration/revision?revision=1", "", 200},
      {"GET", "/configuration/revision?revision=9", "", 400},
      {"GET", "/configuration/difference?from=0", "", 200},
      {"GET", "/configuration/difference", "", 200},
      {"POST", "/explain?path=/a", "", 200},
      {"POST", "/keys/issue?identifier=k1&organisation=none", "", 400},
    };
  }

  @Test(dataProvider = "statuses")
  public void respondsWithTheStatusOfTheOutcome(
      String method, String target, String body, int expected) {
    HttpResponse response = call(method, target, body);
    assertEquals(response.status(), expected, response.bodyText());
  }

  @Test
  public void wrongCredentialIsRefused() {
    assertEquals(call("other", "GET", "/status", "").status(), 401);
  }

  @Test
  public void aDryRunAppliesNothing() {
    call("POST", "/selectors/set?dry-run=true", SECOND_ZONE);
    assertEquals(configuration.inForce().revision(), 1);
  }

  @Test
  public void repeatedOperationIsAppliedOnce() {
    String target = "/selectors/set?expected-revision=1&operation=mine";
    String first = call("POST", target, SECOND_ZONE).bodyText();
    String second = call("POST", target, SECOND_ZONE).bodyText();
    assertEquals(List.of(first, second), List.of("{\"revision\":2}", "{\"revision\":2}"));
    assertEquals(configuration.inForce().revision(), 2);
  }

  @Test
  public void replacementWithKeepKeysKeepsTheKeys() {
    HttpResponse response = call("POST", "/keys/issue?identifier=k1&organisation=club", "");
    String presentedKey = Json.read(response.bodyText(), OperatorMessages.KeyIssued.class).key();
    call("PUT", "/configuration?keep-keys=true", Json.write(FIRST));
    String listed = call("GET", "/keys", "").bodyText();
    assertEquals(
        Json.read(listed, KeyMessages.Keys.class),
        new KeyMessages.Keys(List.of(new KeyMessages.KeyView("k1", "club"))));
    assertEquals(listed.contains(presentedKey.substring(presentedKey.indexOf('.') + 1)), false);
  }
}
