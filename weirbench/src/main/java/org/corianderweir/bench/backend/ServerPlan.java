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
 * @param coldTime time after the start during which requests take longer
 * @param coldFactor service times are multiplied by this while the server is cold
 */
public record ServerPlan(
    String name,
    String host,
    int port,
    int slots,
    Duration serviceTime,
    Duration coldTime,
    double coldFactor) {
  private static final int PARTS = 7;

  /** Returns this plan as one word of a command line. */
  public String toArgument() {
    return String.join(
        "/",
        name,
        host,
        Integer.toString(port),
        Integer.toString(slots),
        Long.toString(serviceTime.toMillis()),
        Long.toString(coldTime.toMillis()),
        Double.toString(coldFactor));
  }

  /** Reads what {@link #toArgument()} wrote. */
  public static ServerPlan fromArgument(String argument) {
    String[] parts = argument.split("/");
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("not a server plan: " + argument);
    }
    return new ServerPlan(
        parts[0],
        parts[1],
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]),
        Duration.ofMillis(Long.parseLong(parts[4])),
        Duration.ofMillis(Long.parseLong(parts[5])),
        Double.parseDouble(parts[6]));
  }
}
