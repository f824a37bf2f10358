package org.corianderweir.bench.backend;

import java.time.Duration;

/**
 * The properties with which a stand-in backend server is created.
 *
 * @param name name of the server
 * @param host IP address
 * @param port TCP port; zero lets the operating system choose one
 * @param slots number of requests that it runs at the same time
 * @param serviceTime time that a request takes when the server is warm
 * @param coldDuration time after the start during which requests take longer
 * @param coldSlowdownFactor factor of the service time while the server is cold
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

  /** Returns this specification as a command-line argument, its fields joined by slashes. */
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

  /**
   * Parses the result of {@link #toArgument()}.
   *
   * @throws IllegalArgumentException if the argument has another number of fields or a field that
   *     is not a number where one is needed
   */
  public static ServerSpecification fromArgument(String argument) {
    String[] fields = argument.split("/");
    if (fields.length != FIELD_COUNT) {
      throw new IllegalArgumentException("not a server specification: " + argument);
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
