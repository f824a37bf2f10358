package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalInt;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.platform.PlatformHeaders;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ServerMessageTranslator}. */
public class ServerMessageTranslatorTest {
  private static final int ABSENT = -1;

  private final ServerMessageTranslator messages =
      new ServerMessageTranslator(PlatformHeaders.NAMES);

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {List.of("2,5,3,250"), load(2, 5, 3, 250)},
      {List.of(" 2 , 5 , 3 , 250 "), load(2, 5, 3, 250)},
      {List.of("0,0,3"), load(0, 0, 3, ABSENT)},
      {List.of("2,5"), load(2, 5, ABSENT, ABSENT)},
      {List.of("2"), load(2, ABSENT, ABSENT, ABSENT)},
      {List.of(""), ServerLoad.NONE},
      {List.of(), ServerLoad.NONE},
      {List.of("2,5,3,"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,fast"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,0"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,-250"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,+250"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,2.5"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,10000"), load(2, 5, 3, 10_000)},
      {List.of("2,5,3,10001"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3,999999999999999999"), load(2, 5, 3, ABSENT)},
      {List.of("2,5,3," + "9".repeat(5_000)), load(2, 5, 3, ABSENT)},
      {List.of("2,5,0,250"), load(2, 5, ABSENT, 250)},
      {List.of("-2,5,3,250"), load(ABSENT, 5, 3, 250)},
      {List.of("2,9223372036854775808,3,250"), load(2, ABSENT, 3, 250)},
      {List.of(",,,250"), load(ABSENT, ABSENT, ABSENT, 250)},
      {List.of("2,5,3,250,1"), ServerLoad.NONE},
      {List.of("2,5,3,250,"), ServerLoad.NONE},
      {List.of(",".repeat(10_000)), ServerLoad.NONE},
      {List.of("2,5,3,250", "2,5,3,100"), ServerLoad.NONE}
    };
  }

  /** A figure out of range could make a response unreadable, or draw all requests to a server. */
  @Test(dataProvider = "loads")
  public void figuresOfTheLoadAreBoundedAndTheResponseStaysValid(
      List<String> values, ServerLoad expected) {
    HttpHeaders headers =
        HttpHeaders.NONE.with("Request-Id", "r1").with("Server-Stamp", "3e1b.07.c9f2a4d1");
    for (String value : values) {
      headers = headers.with("Server-Load", value);
    }
    SendOutcome outcome = messages.outcome(new HttpResponse(200, headers, new byte[0]), "r1");
    assertEquals(((SendOutcome.Answered) outcome).report().load(), expected);
  }

  private static ServerLoad load(int running, int waiting, int slots, int speed) {
    return new ServerLoad(figure(running), figure(waiting), figure(slots), figure(speed));
  }

  private static OptionalInt figure(int value) {
    return value == ABSENT ? OptionalInt.empty() : OptionalInt.of(value);
  }
}
