package org.corianderweir.bench.backend;

import java.time.Duration;

/**
 * How a stand-in backend server is built.
 *
 * @param name name of the server
 * @param host IP address
 * @param port TCP port; zero lets the system choose
 * @param slots requests that it runs at the same time
 * @param serviceTime time that a request takes
 * @param coldDuration time after the start during which requests take longer
 * @param coldSlowdownFactor service times are multiplied by this while the server is cold
 */
public record ServerSpecification(
    String name,
    String host,
    int port,
    int slots,
    Duration serviceTime,
    Duration coldDuration,
    double coldSlowdownFactor) {
  private static final int FIELD_COUNT = 7;

  /** Returns this plan as one word of a command line. */
  public String toArgument() {
    return String.join(
        "/",
        name,
        host,
        Integer.toString(port),
        Integer.toString(slots),
        Long.toString(serviceTime.toMillis()),
        Long.toString(coldDuration.toMillis()),
        Double.toString(coldSlowdownFactor));
  }

  /** Reads what {@link #toArgument()} wrote. */
  public static ServerSpecification fromArgument(String argument) {
    String[] fields = argument.split("/");
    if (fields.length != FIELD_COUNT) {
      throw new IllegalArgumentException("not a server plan: " + argument);
    }
    return new ServerSpecification(
        fields[0],
        fields[1],
        Integer.parseInt(fields[2]),
        Integer.parseInt(fields[3]),
        Duration.ofMillis(Long.parseLong(fields[4])),
        Duration.ofMillis(Long.parseLong(fields[5])),
        Double.parseDouble(fields[6]));
  }
}
