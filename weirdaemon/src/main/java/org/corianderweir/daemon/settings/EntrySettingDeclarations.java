package org.corianderweir.daemon.settings;

import java.io.File;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.model.traffic.InstanceLocation;

/** Declarations of the settings of an entry instance that watches the platform's store. */
public final class EntrySettingDeclarations {
  private static final int PORT_MAXIMUM = 65_535;
  private static final int SECONDS_PER_DAY = 86_400;
  private static final int MILLISECONDS_PER_DAY = SECONDS_PER_DAY * 1000;
  private static final int FILE_DESCRIPTOR_LIMIT_MINIMUM = 256;
  private static final double MARGIN_MAXIMUM = 1e9;
  private static final SettingType<HttpAddress> ADDRESS = new SettingType.SocketAddress();
  private static final SettingType<Integer> PORT = new SettingType.WholeNumber(1, PORT_MAXIMUM);
  private static final SettingType<Duration> SECONDS =
      new SettingType.Seconds(Duration.ofSeconds(SECONDS_PER_DAY));
  private static final SettingType<Double> RATIO = new SettingType.Decimal(0.001, 1);
  private static final SettingType<Double> MARGIN = new SettingType.Decimal(0, MARGIN_MAXIMUM);

  private static final Setting<String> NAME =
      Setting.required(
          "instance", "name", new SettingType.Name(), "unique name of this entry instance");
  private static final Setting<String> REGION =
      Setting.required("instance", "region", new SettingType.Name(), "region it stands in");
  private static final Setting<String> ZONE =
      Setting.required(
          "instance",
          "availability-zone",
          new SettingType.Name(),
          "availability zone it stands in");
  private static final Setting<Map<String, String>> ZONES =
      Setting.required(
          "fleet",
          "availability-zones",
          new SettingType.NamePairs(),
          "all availability zones with their regions");
  private static final Setting<HttpAddress> CALLER_ADDRESS =
      Setting.required("callers", "address", ADDRESS, "address for requests");
  private static final Setting<HttpAddress> READINESS_ADDRESS =
      Setting.required("callers", "readiness-address", ADDRESS, "address for readiness checks");
  private static final Setting<HttpAddress> LOOKUP_ADDRESS =
      Setting.required("callers", "look-up-address", ADDRESS, "address for look-ups");
  private static final Setting<Duration> LOOKUP_LIFETIME =
      Setting.required(
          "callers",
          "longest-look-up-lifetime-seconds",
          SECONDS,
          "longest time that callers may cache the answer to a look-up");
  private static final Setting<Integer> PEER_PORT =
      Setting.required("peers", "port", PORT, "port for messages between entry instances");
  private static final Setting<Integer> METRICS_PORT =
      Setting.required("metrics", "port", PORT, "TCP port of the metrics");
  private static final Setting<HttpAddress> STORE_ADDRESS =
      Setting.required("store", "address", ADDRESS, "address of the platform's store");
  private static final Setting<Duration> HEARTBEAT_INTERVAL =
      Setting.required(
          "store",
          "heartbeat-milliseconds",
          new SettingType.Milliseconds(1, MILLISECONDS_PER_DAY),
          "time between two reports of a backend server");
  private static final Setting<Duration> STOP_TIMEOUT =
      Setting.required("bounds", "stop-seconds", SECONDS, "longest time of a planned stop");
  private static final Setting<Double> RETRY_RATIO =
      Setting.required(
          "bounds",
          "retry-ratio",
          new SettingType.Decimal(0, 1),
          "repeats of a service as a part of the requests for it");
  private static final Setting<Double> RETRY_MARGIN =
      Setting.required("bounds", "retry-margin", MARGIN, "repeats beyond that part in a window");
  private static final Setting<Duration> RETRY_WINDOW =
      Setting.required("bounds", "retry-window-seconds", SECONDS, "window of the retry budget");
  private static final Setting<Double> RATE_OVERAGE_RATIO =
      Setting.required(
          "bounds",
          "rate-overage",
          new SettingType.Decimal(0, 1),
          "part by which an organisation may exceed its limit");
  private static final Setting<Double> RATE_MARGIN =
      Setting.required(
          "bounds",
          "rate-margin",
          MARGIN,
          "requests in a window by which an organisation may exceed its limit");
  private static final Setting<Duration> RATE_WINDOW =
      Setting.required(
          "bounds", "rate-window-seconds", SECONDS, "window of the limits of organisations");

  private static final Setting<Integer> FILE_DESCRIPTOR_LIMIT =
      Setting.required(
          "limits",
          "descriptors",
          new SettingType.WholeNumber(FILE_DESCRIPTOR_LIMIT_MINIMUM, Integer.MAX_VALUE),
          "sockets and files that the process may open");

  private static final Setting<Double> PROCESSOR_SHARE =
      Setting.optional(
          "limits",
          "processor-share",
          new SettingType.Decimal(0.01, 1),
          environmentOr("WEIR_PROCESSOR_SHARE", "1"),
          "share of each processor core that the process gets;"
              + " WEIR_PROCESSOR_SHARE in the environment sets its default");
  private static final Setting<Integer> PROCESSOR_CORES =
      Setting.optional(
          "limits",
          "processor-cores",
          new SettingType.WholeNumber(1, 1_000),
          environmentOr("WEIR_PROCESSOR_CORES", "1"),
          "processor cores of the machine; callers are directed to instances by share times cores;"
              + " WEIR_PROCESSOR_CORES in the environment sets its default");
  private static final Setting<Double> UNFINISHED_MEMORY_RATIO =
      Setting.optional(
          "limits",
          "unfinished-memory-ratio",
          RATIO,
          "0.04",
          "part of the heap for heads and chunk lines without an end;"
              + " beyond it, the connection that holds most is closed");
  private static final Setting<Double> UNFINISHED_CONNECTION_RATIO =
      Setting.optional(
          "limits",
          "unfinished-connection-ratio",
          RATIO,
          "0.5",
          "part of a port's connections with an unfinished request; beyond it, the oldest is"
              + " closed");
  private static final Setting<Duration> STALL_TIMEOUT =
      Setting.optional(
          "limits",
          "stall-milliseconds",
          new SettingType.Milliseconds(1, MILLISECONDS_PER_DAY),
          "8000",
          "longest time without a byte of a body while less than a quarter of the memory for"
              + " bodies is left");

  private EntrySettingDeclarations() {}

  /**
   * Returns the value of an environment variable, or a default if it is not set. Used for what the
   * platform knows of the machine, so that one settings file serves machines of different size.
   */
  private static String environmentOr(String variable, String defaultText) {
    return Optional.ofNullable(System.getenv(variable)).orElse(defaultText);
  }

  /** Returns all declarations in the order of docs/SETTINGS.md. */
  public static List<Setting<?>> all() {
    return List.of(
        NAME,
        REGION,
        ZONE,
        ZONES,
        CALLER_ADDRESS,
        READINESS_ADDRESS,
        LOOKUP_ADDRESS,
        LOOKUP_LIFETIME,
        PEER_PORT,
        METRICS_PORT,
        STORE_ADDRESS,
        HEARTBEAT_INTERVAL,
        FILE_DESCRIPTOR_LIMIT,
        PROCESSOR_SHARE,
        PROCESSOR_CORES,
        UNFINISHED_MEMORY_RATIO,
        UNFINISHED_CONNECTION_RATIO,
        STALL_TIMEOUT,
        STOP_TIMEOUT,
        RETRY_RATIO,
        RETRY_MARGIN,
        RETRY_WINDOW,
        RATE_OVERAGE_RATIO,
        RATE_MARGIN,
        RATE_WINDOW);
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws org.corianderweir.model.WeirException with code {@code SETTINGS_INVALID}; its message
   *     has one line for each mistake
   */
  public static EntrySettings read(File path) {
    SettingsFile file = SettingsFile.read(path, all());
    return new EntrySettings(
        file.value(NAME),
        new InstanceLocation(file.value(ZONE), file.value(REGION), file.value(ZONES)),
        file.value(CALLER_ADDRESS),
        file.value(READINESS_ADDRESS),
        file.value(LOOKUP_ADDRESS),
        file.value(PEER_PORT),
        file.value(METRICS_PORT),
        file.value(STORE_ADDRESS),
        file.value(LOOKUP_LIFETIME),
        file.value(STOP_TIMEOUT),
        file.value(HEARTBEAT_INTERVAL),
        file.value(FILE_DESCRIPTOR_LIMIT),
        file.value(PROCESSOR_SHARE) * file.value(PROCESSOR_CORES),
        new UnfinishedLimitSettings(
            file.value(UNFINISHED_MEMORY_RATIO),
            file.value(UNFINISHED_CONNECTION_RATIO),
            file.value(STALL_TIMEOUT)),
        new FleetBounds(
            file.value(RETRY_RATIO),
            file.value(RETRY_MARGIN),
            file.value(RETRY_WINDOW),
            file.value(RATE_OVERAGE_RATIO),
            file.value(RATE_MARGIN),
            file.value(RATE_WINDOW)));
  }
}
