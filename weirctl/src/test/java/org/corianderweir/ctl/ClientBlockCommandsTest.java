package org.corianderweir.ctl;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.configuration.Site;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.ClientBlockMessages;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the commands about sites and client blocks, against a fake of the operators' interface.
 */
public class ClientBlockCommandsTest {
  private static final Site SITE = new Site(12, "ikeja", "lagos-1");

  private final FakeOperatorServer operatorServer = new FakeOperatorServer();

  /** Starts the fake with the responses of all operations that the commands call. */
  @BeforeClass
  public void startOperatorServer() {
    operatorServer.start();
    operatorServer.respond(
        "GET /status", new OperatorMessages.Status("entry-1", InstanceState.SERVING, 7, 2));
    operatorServer.respond("GET /sites", new ClientBlockMessages.Sites(List.of(SITE), 1));
    operatorServer.respond(
        "POST /client-blocks/find",
        new ClientBlockMessages.Steering(
            "10.1.7.9", Optional.of("10.1.0.0/16"), Optional.of(SITE)));
    for (String change :
        List.of("sites/set", "sites/remove", "client-blocks/steer", "client-blocks/remove")) {
      operatorServer.respond("POST /" + change, new OperatorMessages.Accepted(8));
    }
  }

  @AfterClass
  public void stopOperatorServer() {
    operatorServer.stop();
  }

  @DataProvider
  public static Object[][] commands() {
    return new Object[][] {
      {"sites list", "12      ikeja  lagos-1", "GET /sites"},
      {
        "sites set ikeja --number 12 --zone lagos-1",
        "accepted as revision 8",
        "POST /sites/set {\"site\":{\"number\":12,\"name\":\"ikeja\","
            + "\"availabilityZone\":\"lagos-1\"}}"
      },
      {"sites remove ikeja", "accepted as revision 8", "POST /sites/remove {\"site\":\"ikeja\"}"},
      {
        "blocks find 10.1.7.9",
        "10.1.7.9  10.1.0.0/16  ikeja  lagos-1",
        "POST /client-blocks/find {\"client\":\"10.1.7.9\"}"
      },
      {
        "blocks steer 10.1.0.0/16 10.2.0.0/16 --site ikeja",
        "accepted as revision 8",
        "POST /client-blocks/steer {\"prefixes\":[\"10.1.0.0/16\",\"10.2.0.0/16\"],"
            + "\"site\":\"ikeja\"}"
      },
      {
        "blocks remove 10.1.0.0/16",
        "accepted as revision 8",
        "POST /client-blocks/remove {\"prefixes\":[\"10.1.0.0/16\"]}"
      }
    };
  }

  @Test(dataProvider = "commands")
  public void sendsRequestAndPrintsResponse(
      String command, String lastLine, String expectedRequest) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    CommandLine commandLine =
        new CommandLine(
            Map.of(
                GlobalOptions.INSTANCES_VARIABLE,
                operatorServer.address(),
                GlobalOptions.CREDENTIAL_VARIABLE,
                FakeOperatorServer.CREDENTIAL),
            new PrintStream(output, true, StandardCharsets.UTF_8),
            new PrintStream(output, true, StandardCharsets.UTF_8));
    commandLine.run(command.split(" "));
    String request = operatorServer.requests().getLast().replaceFirst("\\?[^ ]*", "");
    String printed = output.toString(StandardCharsets.UTF_8).lines().toList().getLast();
    assertEquals(List.of(printed, request), List.of(lastLine, expectedRequest));
  }
}
