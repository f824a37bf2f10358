package org.corianderweir.http;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link KeepAliveField}. */
public class KeepAliveFieldTest {
  @DataProvider
  public Object[][] fields() {
    return new Object[][] {
      {List.of(), Optional.empty()},
      {List.of("timeout=10"), seconds(9)},
      {List.of("timeout=10, max=100"), seconds(9)},
      {List.of("max=5;Timeout = 4"), seconds(3)},
      {List.of("timeout=1"), Optional.of(Duration.ofMillis(500))},
      {List.of("timeout=0"), seconds(0)},
      {List.of("timeout=600"), seconds(30)},
      {List.of("timeout=-5"), Optional.empty()},
      {List.of("timeout=1.5"), Optional.empty()},
      {List.of("timeout=99999999999"), Optional.empty()},
      {List.of("idletimeout=10"), Optional.empty()},
      {List.of("close"), Optional.empty()},
      {List.of("timeout=10", "timeout=20"), Optional.empty()}
    };
  }

  /** A connection was used after the time at which its server had announced to close it. */
  @Test(dataProvider = "fields")
  public void lifetimeEndsBeforeTheAnnouncedTime(List<String> values, Optional<Duration> expected) {
    HttpHeaders headers = HttpHeaders.NONE;
    for (String value : values) {
      headers = new HttpHeaders(append(headers.fields(), new HttpHeader("Keep-Alive", value)));
    }
    assertEquals(KeepAliveField.idleLifetime(headers), expected);
  }

  private static List<HttpHeader> append(List<HttpHeader> fields, HttpHeader field) {
    return Stream.concat(fields.stream(), Stream.of(field)).toList();
  }

  private static Optional<Duration> seconds(long seconds) {
    return Optional.of(Duration.ofSeconds(seconds));
  }
}
