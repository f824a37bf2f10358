package org.corianderweir.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.operator.FleetListing;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@code explain request --all} against fakes of entry instances. */
public class ExplainFleetCommandTest {
  private static final String HOST = "127.0.0.1";
  private static final int BODY_LIMIT_BYTES = 1024;

  /** A port on which nothing listens. */
  private static final int DEAD_PORT = 1;

  private static final String COMMAND =
      "explain request --host h --path /read/x --key secret --all";

  private final Map<String, HttpResponse> responses = new ConcurrentHashMap<>();
  private final HttpListener first = listener("entry-1");
  private final HttpListener second = listener("entry-2");

  private record Run(ExitStatus status, String output, String errors) {}

  private HttpListener listener(String name) {
    return new HttpListener(
        new HttpListenerOptions(name, HOST, 0, BODY_LIMIT_BYTES, 1),
        request ->
            CompletableFuture.completedFuture(
                request.path().equals(FleetListing.ENDPOINT_PATH)
                    ? responses.get("listing")
                    : responses.get(name)));
  }

  @BeforeClass
  public void start() {
    first.start();
    second.start();
  }

  @AfterClass
  public void stop() {
    first.stop(0);
    second.stop(0);
  }

  @BeforeMethod
  public void prepare() {
    list(entry("entry-1", first.port()), entry("entry-2", second.port()));
    responses.put("entry-1", explained("entry-1", "server-1"));
    responses.put("entry-2", explained("entry-2", "server-1"));
  }

  @Test
  public void instancesThatAgreeHaveNoDifferences() {
    Run run = run(COMMAND);
    assertEquals(run.status(), ExitStatus.OK, run.errors());
    assertEquals(
        run.output().lines().map(line -> line.replaceAll(" +", " ")).toList(),
        List.of(
            "2 instances, listed by entry-1 at revision 9",
            "INSTANCE REGION ROUTE VERSION OUTCOME FIRST SERVER LIMIT REVISION VIEW REPORTS",
            "entry-1 north read 7 send server-1 none 9 40 ms -",
            "entry-2 north read 7 send server-1 none 9 40 ms -",
            "no differences"));
  }

  @Test
  public void differencesAreNamedAfterTheTable() {
    responses.put("entry-2", explained("entry-2", "server-2"));
    Run run = run(COMMAND);
    assertEquals(run.status(), ExitStatus.OK, run.errors());
    assertEquals(
        run.output().lines().skip(4).toList(),
        List.of("different first server:", "  server-1: entry-1", "  server-2: entry-2"));
  }

  /** One dead instance must not hide what the others answer. */
  @Test
  public void instanceThatDoesNotAnswerIsNamed() {
    list(entry("entry-1", first.port()), entry("entry-3", DEAD_PORT));
    Run run = run(COMMAND);
    assertEquals(run.status(), ExitStatus.UNREACHABLE);
    assertTrue(run.output().contains("\nentry-1 "), run.output());
    assertTrue(run.output().contains("\nentry-3 at 127.0.0.1:1: no answer: "), run.output());
    assertTrue(run.errors().contains("no answer of entry-3 at 127.0.0.1:1"), run.errors());
    Run json = run(COMMAND + " --output json");
    assertEquals(json.status(), ExitStatus.UNREACHABLE);
    assertTrue(json.output().contains("\"instance\" : \"entry-3\""), json.output());
    assertFalse((run.output() + run.errors() + json.output()).contains("secret"));
  }

  /** An instance of a version that does not state its basis was taken for a malformed one. */
  @Test
  public void olderFormatIsShownWithWhatItHas() {
    String older = responses.get("entry-2").bodyText().replaceAll(",\"basis\":\\{[^}]*}", "");
    assertFalse(older.contains("basis"));
    responses.put("entry-2", HttpResponse.json(200, older));
    Run run = run(COMMAND);
    assertEquals(run.status(), ExitStatus.OK, run.errors());
    assertTrue(
        run.output()
            .replaceAll(" +", " ")
            .contains("entry-2 north read 7 send server-1 none - - -"),
        run.output());
  }

  @DataProvider
  public Object[][] unusableAnswers() {
    return new Object[][] {
      {HttpResponse.json(200, "{\"instance\":"), "not a RequestExplanation"},
      {HttpResponse.json(200, "{\"instance\":\"entry-2\"}"), "not a RequestExplanation"},
      {HttpResponse.json(404, ""), "status 404"},
      {HttpResponse.json(400, "no"), "not a Failure"},
      {HttpResponse.json(400, "{\"code\":\"x\",\"message\":\"no region\"}"), "no region"},
      {explained("entry-9", "server-1"), "answers as entry-9"}
    };
  }

  /** A malformed answer ended the command without the name of the instance. */
  @Test(dataProvider = "unusableAnswers")
  public void unusableAnswerNamesItsInstance(HttpResponse response, String problem) {
    responses.put("entry-2", response);
    Run run = run(COMMAND);
    assertEquals(run.status(), ExitStatus.FAILED, run.output());
    String address = "entry-2 at 127.0.0.1:" + second.port();
    assertTrue(run.output().contains(address + ": "), run.output());
    assertTrue(run.output().contains(problem), run.output());
    assertTrue(run.errors().contains("no explanation of " + address), run.errors());
  }

  /** What all instances refuse is wrong with the command line. */
  @Test
  public void inputThatAllRefuseIsBadInput() {
    HttpResponse refusal = HttpResponse.json(400, "{\"code\":\"x\",\"message\":\"no region\"}");
    responses.put("entry-1", refusal);
    responses.put("entry-2", refusal);
    Run run = run(COMMAND);
    assertEquals(run.status(), ExitStatus.USAGE, run.output());
    assertTrue(run.errors().contains("no region"), run.errors());
  }

  private void list(FleetListing.Entry... entries) {
    responses.put(
        "listing",
        HttpResponse.json(200, Json.write(new FleetListing("entry-1", 9, List.of(entries)))));
  }

  private static FleetListing.Entry entry(String name, int port) {
    return new FleetListing.Entry(name, "north", "north-a", HOST, port);
  }

  private static HttpResponse explained(String instance, String server) {
    return HttpResponse.json(
        200,
        """
        {"instance":"%s","region":"north","configurationVersion":7,"route":"read",
        "organisation":null,"limit":null,"kind":"safe","priority":1,"admission":"admitted",
        "service":"desk","capacity":null,"scope":null,"candidates":[],"outcome":{"decision":"send",
        "server":"%s","reason":null,"retryAfterMilliseconds":null,"waitMilliseconds":null,
        "status":null},"basis":{"revision":9,"ageMilliseconds":40}}"""
            .formatted(instance, server));
  }

  private Run run(String command) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    ExitStatus status =
        new CommandLine(
                Map.of(),
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8))
            .run((command + " --instances " + HOST + ":" + first.port()).split(" "));
    return new Run(
        status, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
  }
}
