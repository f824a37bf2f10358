package org.corianderweir.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.coordination.InForceReport;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.steering.CellCondition;
import org.corianderweir.logic.steering.ShiftState;
import org.corianderweir.logic.steering.explain.DryRunReport;
import org.corianderweir.logic.steering.explain.Explanation;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.timeline.HybridTimestamp;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.DrainMessages;
import org.corianderweir.protocol.operator.KeyMessages;
import org.corianderweir.protocol.operator.LabelMessages;
import org.corianderweir.protocol.operator.OrganisationMessages;
import org.corianderweir.protocol.operator.SelectorMessages;
import org.corianderweir.protocol.operator.ShiftMessages;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@code weirctl} that run its commands against a fake of the operators' interface. */
public class CommandLineTest {
  private static final String STATUS_REQUEST = "GET /status";
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
  private static final Organisation CLUB = new Organisation("club", 10, 5, 0);
  private static final Configuration CONFIGURATION =
      Configuration.builder()
          .revision(7)
          .organisations(List.of(CLUB))
          .keys(List.of(new AccessKey("k1", "club", "salt", "hash")))
          .build();

  private final FakeOperatorServer operatorServer = new FakeOperatorServer();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @BeforeClass
  public void startOperatorServer() {
    operatorServer.start();
  }

  @AfterClass
  public void stopOperatorServer() {
    operatorServer.stop();
  }

  @BeforeMethod
  public void prepareResponses() {
    operatorServer.reset();
    output.reset();
    errors.reset();
    operatorServer.respond(
        STATUS_REQUEST, new OperatorMessages.Status("entry-1", InstanceState.SERVING, 7, 2));
    EntryInstance self =
        new EntryInstance("entry-1", "erie", "e1", "127.0.0.1", 1, operatorServer.port(), 2);
    EntryInstance down = new EntryInstance("entry-2", "erie", "e2", "127.0.0.1", 1, 1, 2);
    operatorServer.respond(
        "GET /instances",
        new OperatorMessages.Instances(
            List.of(
                new Member(self, 1, InstanceState.SERVING, 7),
                new Member(down, 1, InstanceState.LEAVING, 6))));
    operatorServer.respond(
        "GET /timeline",
        new OperatorMessages.Timeline(
            List.of(
                event(2, EventCode.REQUEST_SENT, "r1", "server=s1"),
                event(1, EventCode.CONFIGURATION_IN_FORCE, "revision-7", ""),
                event(3, EventCode.REQUEST_REFUSED, "r2", "rate-exceeded organisation=club"))));
    operatorServer.respond(
        "GET /metrics",
        new OperatorMessages.Meters(List.of(new OperatorMessages.MeterValue("requests", 3, 0.25))));
    operatorServer.respond("GET /configuration", CONFIGURATION);
    operatorServer.respond(
        "GET /configuration/revision", CONFIGURATION.toBuilder().organisations(List.of()).build());
    operatorServer.respond(
        "GET /configuration/history",
        new OperatorMessages.History(
            List.of(new AcceptedChange(7, "entry-1/x", "key k1 added", 0))));
    operatorServer.respond(
        "GET /in-force",
        new InForceReport(
            7,
            List.of(
                new InForceReport.ZoneState(
                    "e1", InForceReport.Reach.UNREACHABLE, 6, Optional.of(0L), 0))));
    operatorServer.respond(
        "GET /labels",
        new LabelMessages.Labels(
            List.of(
                new LabelMessages.LabelledItem(
                    LabelScope.ZONE, "e1", List.of(new Label("tier", "gold"))))));
    operatorServer.respond(
        "GET /selectors",
        new SelectorMessages.Selectors(
            List.of(new SelectorMessages.SelectorView("a", "route a path /a to service s"))));
    operatorServer.respond(
        "GET /organisations", new OrganisationMessages.Organisations(List.of(CLUB)));
    operatorServer.respond(
        "GET /limits",
        new OrganisationMessages.Limits(
            List.of(CLUB),
            List.of(new OrganisationMessages.ConcurrencyLimit("erie", 0)),
            List.of(new Link("erie", "huron", 4_000)),
            List.of(new OrganisationMessages.ConcurrencyLimit("a", 40))));
    operatorServer.respond(
        "GET /keys", new KeyMessages.Keys(List.of(new KeyMessages.KeyView("k1", "club"))));
    operatorServer.respond(
        "GET /drains",
        new DrainMessages.Drains(
            List.of(new DrainMessages.DrainedServer("s1", "desk", "e1", 2, -1))));
    operatorServer.respond(
        "GET /shifts",
        new ShiftMessages.Shifts(
            "entry-1",
            "erie",
            List.of(
                new ShiftMessages.ShiftView(
                    "a",
                    ShiftState.HELD,
                    0.05,
                    List.of(
                        new ShiftMessages.ShareView(
                            "anywhere", "erie", "e1", 0.25, 1, CellCondition.FULL))))));
    operatorServer.respond(
        "POST /explain",
        new Explanation(
            7,
            "answered",
            List.of(
                new Explanation.Stage(
                    "selector", List.of(new Explanation.Candidate("a", true, "longest"))))));
    operatorServer.respond("POST /selectors/check", report());
    for (String change :
        List.of(
            "PUT /configuration",
            "POST /labels/set",
            "POST /labels/remove",
            "POST /selectors/set",
            "POST /selectors/remove",
            "POST /organisations/set",
            "POST /organisations/remove",
            "POST /keys/withdraw",
            "POST /drain",
            "POST /undrain",
            "POST /shift/pause",
            "POST /shift/resume",
            "POST /shift/turn-back",
            "POST /stop")) {
      operatorServer.respond(change, new OperatorMessages.Accepted(8));
    }
    operatorServer.respond("POST /keys/issue", new OperatorMessages.KeyIssued(8, "k2.secret"));
  }

  private static TimelineEvent event(
      long wallMilliseconds, EventCode code, String subject, String detail) {
    return new TimelineEvent(
        new HybridTimestamp(wallMilliseconds, 0), "entry-1", code, subject, detail);
  }

  private static DryRunReport report() {
    return new DryRunReport(
        7,
        List.of(
            new DryRunReport.PlannedShift(
                "a",
                0.5,
                0.05,
                10,
                List.of(new DryRunReport.ZoneShares("erie", "erie", "e1", 0, 0.5, 4)))),
        List.of("too little room"));
  }

  private ExitStatus run(String... arguments) {
    return runAt(operatorServer.address(), arguments);
  }

  private ExitStatus runAt(String instances, String... arguments) {
    CommandLine commandLine =
        new CommandLine(
            Map.of(
                GlobalOptions.INSTANCES_VARIABLE,
                instances,
                GlobalOptions.CREDENTIAL_VARIABLE,
                FakeOperatorServer.CREDENTIAL),
            new PrintStream(output, true, StandardCharsets.UTF_8),
            new PrintStream(errors, true, StandardCharsets.UTF_8));
    return commandLine.run(arguments);
  }

  private List<String> printed() {
    return output.toString(StandardCharsets.UTF_8).lines().toList();
  }

  private List<String> printedErrors() {
    return errors.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @DataProvider
  public static Object[][] readingCommands() {
    return new Object[][] {
      {
        "status",
        List.of(
            "instance  entry-1", "state     serving", "revision  7", "alive     2 entry instances")
      },
      {"labels list", List.of("SCOPE  NAME  LABEL  VALUE", "zone   e1    tier   gold")},
      {"selectors list", List.of("route a path /a to service s")},
      {
        "selectors check route a path /a to service s",
        List.of(
            "tried on revision 7; nothing was applied",
            "",
            "selector a: 50.0% of the traffic moves, at most 5.0% a second, complete after 10.0 s",
            "CALLERS IN  REGION  ZONE  BEFORE  AFTER  SLOTS",
            "erie        erie    e1    0.0%    50.0%  4",
            "",
            "problems:",
            "  too little room")
      },
      {
        "organisations list",
        List.of(
            "ORGANISATION  REQUESTS/S  BURST  KEY STALENESS",
            "club          10.0        5      0 ms")
      },
      {
        "limits",
        List.of(
            "KIND          NAME           LIMIT",
            "organisation  club           10.0 requests/s, burst 5",
            "region        erie           none",
            "link          erie to huron  4000.0 Mbit/s",
            "selector      a              40 requests at a time")
      },
      {"keys list", List.of("KEY  ORGANISATION", "k1   club")},
      {
        "drains",
        List.of(
            "SERVER  SERVICE  ZONE  IN FLIGHT  ENDED AFTER",
            "s1      desk     e1    2          running")
      },
      {
        "shift show",
        List.of(
            "as seen by entry-1 in region erie",
            "",
            "selector a: held, at most 5.0% a second",
            "DESTINATION  REGION  ZONE  NOW    TARGET  CONDITION",
            "anywhere     erie    e1    25.0%  100.0%  full")
      },
      {
        "config history",
        List.of(
            "REVISION  ACCEPTED              CHANGE        OPERATION",
            "7         1970-01-01T00:00:00Z  key k1 added  entry-1/x")
      },
      {
        "config in-force --revision 7",
        List.of("ZONE  REVISION 7   KEYS STOP BY", "e1    unreachable  1970-01-01T00:00:00Z")
      },
      {
        "config diff 6",
        List.of(
            "+ organisation club: {\"name\":\"club\",\"requestsPerSecond\":10.0,\"burst\":5,"
                + "\"keyStalenessMilliseconds\":0}")
      },
      {"config diff 6 5", List.of("nothing differs")},
      {
        "explain /a --organisation club",
        List.of("revision 7: answered", "selector:", "  + a: longest")
      },
      {
        "metrics",
        List.of(
            "INSTANCE  METER      COUNT  PER SECOND",
            "entry-1   requests   3      0.3",
            "entry-2   no answer  -      -")
      },
      {
        "timeline",
        List.of(
            "1970-01-01T00:00:00.001Z.0 entry-1 WEIR-2001 Configuration revision in force:"
                + " revision-7",
            "1970-01-01T00:00:00.002Z.0 entry-1 WEIR-4002 Request sent to backend server: r1"
                + " server=s1",
            "1970-01-01T00:00:00.003Z.0 entry-1 WEIR-4001 Request refused: r2 rate-exceeded"
                + " organisation=club",
            "missing, no answer: entry-2")
      },
      {"timeline --request r1", timeline("2", "WEIR-4002", "sent to backend server: r1 server=s1")},
      {
        "timeline --backend-server s1",
        timeline("2", "WEIR-4002", "sent to backend server: r1 server=s1")
      },
      {
        "timeline --organisation club",
        timeline("3", "WEIR-4001", "refused: r2 rate-exceeded organisation=club")
      },
    };
  }

  private static List<String> timeline(String millisecond, String code, String rest) {
    return List.of(
        "1970-01-01T00:00:00.00" + millisecond + "Z.0 entry-1 " + code + " Request " + rest,
        "missing, no answer: entry-2");
  }

  @Test(dataProvider = "readingCommands")
  public void printsWhatItReads(String line, List<String> expected) {
    ExitStatus status = run(line.split(" "));
    assertEquals(printedErrors(), List.of());
    assertEquals(printed(), expected);
    assertEquals(status, ExitStatus.OK);
  }

  @DataProvider
  public static Object[][] changingCommands() {
    String selector = "route a path /a to service s";
    return new Object[][] {
      {
        "labels set zone e1 tier gold",
        "POST /labels/set",
        "{\"scope\":\"ZONE\",\"name\":\"e1\",\"label\":\"tier\",\"value\":\"gold\"}"
      },
      {
        "labels remove server s1 tier",
        "POST /labels/remove",
        "{\"scope\":\"SERVER\",\"name\":\"s1\",\"label\":\"tier\"}"
      },
      {"selectors set " + selector, "POST /selectors/set", "{\"text\":\"" + selector + "\"}"},
      {"selectors remove a", "POST /selectors/remove", "{\"selector\":\"a\"}"},
      {
        "organisations set club --rate 10 --burst 5 --key-staleness-seconds 60",
        "POST /organisations/set",
        "{\"organisation\":{\"name\":\"club\",\"requestsPerSecond\":10.0,\"burst\":5,"
            + "\"keyStalenessMilliseconds\":60000}}"
      },
      {"organisations remove club", "POST /organisations/remove", "{\"organisation\":\"club\"}"},
      {"keys withdraw k1", "POST /keys/withdraw", "{\"identifier\":\"k1\"}"},
      {"drain s1", "POST /drain", "{\"server\":\"s1\"}"},
      {"undrain s1", "POST /undrain", "{\"server\":\"s1\"}"},
      {"shift pause a", "POST /shift/pause", "{\"selector\":\"a\"}"},
      {"shift resume a", "POST /shift/resume", "{\"selector\":\"a\"}"},
      {"shift turn-back a", "POST /shift/turn-back", "{\"selector\":\"a\"}"},
    };
  }

  @Test(dataProvider = "changingCommands")
  public void sendsAChangeWithTheRevisionInForce(String line, String operation, String body) {
    ExitStatus status = run(line.split(" "));
    assertEquals(printedErrors(), List.of());
    assertEquals(
        operatorServer.requests(),
        List.of(STATUS_REQUEST, operation + "?expected-revision=7&operation=X " + body));
    assertEquals(printed(), List.of("accepted as revision 8"));
    assertEquals(status, ExitStatus.OK);
  }

  @Test(dataProvider = "changingCommands")
  public void sendsAChangeWithTheRevisionGiven(String line, String operation, String body) {
    List<String> words = new ArrayList<>(Arrays.asList(line.split(" ")));
    words.add("--expected-revision");
    words.add("5");
    run(words.toArray(String[]::new));
    assertEquals(
        operatorServer.requests(), List.of(operation + "?expected-revision=5&operation=X " + body));
  }

  @Test(dataProvider = "changingCommands")
  public void triesAChange(String line, String operation, String body) {
    operatorServer.respond(operation, report());
    ExitStatus status = run(("dry-run " + line).split(" "));
    assertEquals(
        operatorServer.requests(),
        List.of(STATUS_REQUEST, operation + "?expected-revision=7&dry-run=true " + body));
    assertEquals(printed().getFirst(), "tried on revision 7; nothing was applied");
    assertEquals(status, ExitStatus.OK);
  }

  @Test
  public void showsIssuedKeyAndStopsNamedInstance() {
    run("keys", "issue", "k2", "--organisation", "club");
    run("stop", "entry-1");
    assertEquals(
        printed(),
        List.of(
            "accepted as revision 8",
            "key (shown this once): k2.secret",
            "entry-1 begins to leave"));
  }

  @Test
  public void appliesAFileOnTheRevisionThatItNames() throws IOException {
    Path file = Files.createTempFile("configuration", ".json");
    run("config", "show");
    Files.write(file, printed());
    assertTrue(printed().stream().noneMatch(line -> line.contains("hash")), "no hash is shown");
    output.reset();
    operatorServer.respond(
        "GET /configuration",
        CONFIGURATION.toBuilder()
            .revision(9)
            .organisations(List.of(new Organisation("club", 20, 5, 0)))
            .build());
    run("config", "diff", "--file", file.toString());
    run("config", "apply", file.toString());
    String club =
        " organisation club: {\"name\":\"club\",\"requestsPerSecond\":%s,\"burst\":5,"
            + "\"keyStalenessMilliseconds\":0}";
    assertEquals(
        printed(),
        List.of(
            "-" + club.formatted("20.0"), "+" + club.formatted("10.0"), "accepted as revision 8"));
    assertEquals(
        operatorServer.requests().getLast(),
        "PUT /configuration?expected-revision=7&keep-keys=true&operation=X "
            + Json.write(CONFIGURATION.toBuilder().keys(List.of()).build()));
    Files.delete(file);
  }

  @Test
  public void printsJson() {
    run("status", "--format", "json");
    assertEquals(
        Json.read(String.join("\n", printed()), OperatorMessages.Status.class),
        new OperatorMessages.Status("entry-1", InstanceState.SERVING, 7, 2));
  }

  @Test
  public void triesTheNextInstanceWhenOneIsDown() {
    ExitStatus status = runAt(UNREACHABLE_ADDRESS + "," + operatorServer.address(), "drain", "s1");
    assertEquals(status, ExitStatus.OK);
    assertEquals(printed(), List.of("accepted as revision 8"));
  }

  @Test
  public void triesTheNextInstanceWhenOneIsCutOff() {
    FakeOperatorServer isolated = new FakeOperatorServer();
    isolated.respondWithFailure("POST /drain", 503, "INSTANCE_ISOLATED", "hears nobody");
    isolated.start();
    String addresses = isolated.address() + "," + operatorServer.address();
    ExitStatus status = runAt(addresses, "drain", "s1", "--expected-revision", "7");
    isolated.stop();
    assertEquals(status, ExitStatus.OK);
    assertEquals(printed(), List.of("accepted as revision 8"));
  }

  @DataProvider
  public static Object[][] failures() {
    return new Object[][] {
      {409, "REVISION_CONFLICT", ExitStatus.CONFLICT},
      {400, "CONFIGURATION_INVALID", ExitStatus.INVALID},
      {503, "PLATFORM_UNAVAILABLE", ExitStatus.FAILED},
    };
  }

  @Test(dataProvider = "failures")
  public void saysWhatFailedAndWhatToDoNext(int httpStatus, String code, ExitStatus expected) {
    operatorServer.respondWithFailure("POST /drain", httpStatus, code, "because");
    ExitStatus status = run("drain", "s1");
    assertEquals(status, expected);
    assertEquals(printedErrors().getFirst(), "weirctl: " + code + ": because");
    assertTrue(printedErrors().getLast().startsWith("next: "));
  }

  @Test
  public void endsWithThreeWhenNoInstanceAnswers() {
    assertEquals(runAt(UNREACHABLE_ADDRESS, "status"), ExitStatus.UNREACHABLE);
    assertEquals(
        printedErrors(),
        List.of(
            "weirctl: unreachable: no entry instance answers, or all are cut off, at "
                + UNREACHABLE_ADDRESS,
            "next: check the addresses, or name further instances with --instances"));
  }

  @DataProvider
  public static Object[][] wrongLines() {
    return new Object[][] {
      {"unknown"},
      {"labels"},
      {"labels set zone"},
      {"labels set planet e1 tier gold"},
      {"drain"},
      {"organisations set club"},
      {"status --format xml"},
      {"config diff one"},
      {"config apply no-such-file"},
      {"status --instances nowhere"},
      {"dry-run"},
    };
  }

  @Test(dataProvider = "wrongLines")
  public void endsWithTwoOnWrongUsage(String line) {
    assertEquals(run(line.split(" ")), ExitStatus.USAGE);
  }

  @DataProvider
  public static Object[][] allCommands() {
    String commands =
        "status,instances,metrics,stop,labels list,labels set,labels remove,selectors list,"
            + "selectors set,selectors remove,selectors check,organisations list,"
            + "organisations set,organisations remove,limits,keys list,keys issue,"
            + "keys withdraw,drain,undrain,drains,shift show,shift pause,shift resume,"
            + "shift turn-back,config show,config history,config in-force,"
            + "config diff,config apply,explain,explain request,dry-run,timeline";
    return Arrays.stream(commands.split(","))
        .map(command -> new Object[] {command})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "allCommands")
  public void hasHelpForEveryCommand(String command) {
    ExitStatus status = run((command + " --help").split(" "));
    assertEquals(status, ExitStatus.OK);
    assertTrue(printed().stream().anyMatch(line -> line.contains("--expected-revision")), command);
  }
}
