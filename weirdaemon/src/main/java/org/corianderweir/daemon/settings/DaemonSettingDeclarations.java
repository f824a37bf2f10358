package org.corianderweir.daemon.settings;

import java.time.Duration;
import java.util.List;

/** Declarations of the settings of a standalone daemon. */
public final class DaemonSettingDeclarations {
  private static final int PORT_MAXIMUM = 65_535;
  private static final int SECRET_MINIMUM_LENGTH = 8;
  private static final int LOOKUP_MINIMUM_MILLISECONDS = 100;
  private static final int LOOKUP_MAXIMUM_MILLISECONDS = 600_000;
  private static final int BODY_LIMIT_MAXIMUM_BYTES = 64 * 1024 * 1024;
  private static final SettingType<Integer> PORT = new SettingType.WholeNumber(1, PORT_MAXIMUM);
  private static final SettingType<Integer> LISTEN_PORT =
      new SettingType.WholeNumber(0, PORT_MAXIMUM);
  private static final SettingType<String> SECRET = new SettingType.Secret(SECRET_MINIMUM_LENGTH);

  static final Setting<String> INSTANCE_NAME =
      Setting.required(
          "instance", "name", new SettingType.Name(), "unique name of this entry instance");
  static final Setting<String> REGION =
      Setting.required("instance", "region", new SettingType.Name(), "region it stands in");
  static final Setting<String> AVAILABILITY_ZONE =
      Setting.required(
          "instance",
          "availability-zone",
          new SettingType.Name(),
          "availability zone it stands in");
  static final Setting<String> HOST =
      Setting.required(
          "instance", "host", new SettingType.IpAddress(), "IP number of all its interfaces");
  static final Setting<Integer> CALLER_PORT =
      Setting.required("callers", "port", PORT, "TCP port for look-ups and requests");
  static final Setting<Integer> CALLER_LISTEN_PORT =
      Setting.optional(
          "callers",
          "listen-port",
          LISTEN_PORT,
          "0",
          "TCP port to listen on if something forwards the other one to it; 0 means the other one");
  static final Setting<Duration> LOOKUP_LIFETIME =
      Setting.optional(
          "callers",
          "look-up-lifetime-milliseconds",
          new SettingType.Milliseconds(LOOKUP_MINIMUM_MILLISECONDS, LOOKUP_MAXIMUM_MILLISECONDS),
          "2000",
          "how long callers may cache a look-up answer; a planned stop lasts at least as long");
  static final Setting<Integer> BODY_LIMIT_BYTES =
      Setting.optional(
          "callers",
          "body-limit-bytes",
          new SettingType.WholeNumber(0, BODY_LIMIT_MAXIMUM_BYTES),
          "1048576",
          "largest body of a request; a larger one is refused with 413");
  static final Setting<Integer> OPERATOR_PORT =
      Setting.required("operators", "port", PORT, "TCP port of the operators' interface");
  static final Setting<String> OPERATOR_CREDENTIAL =
      Setting.required(
          "operators", "credential", SECRET, "secret that operators show with each call");
  static final Setting<Integer> PEER_PORT =
      Setting.required("peers", "port", PORT, "TCP port for the other entry instances");
  static final Setting<Integer> PEER_LISTEN_PORT =
      Setting.optional(
          "peers",
          "listen-port",
          LISTEN_PORT,
          "0",
          "TCP port to listen on if something forwards the other one to it; 0 means the other one");
  static final Setting<String> PEER_SECRET =
      Setting.required(
          "peers",
          "secret",
          SECRET,
          "secret that entry instances prove to each other; the same on all of them");
  static final Setting<String> PLATFORM_HOST =
      Setting.required(
          "platform", "host", new SettingType.IpAddress(), "IP number of the platform's service");
  static final Setting<Integer> PLATFORM_PORT =
      Setting.required("platform", "port", PORT, "TCP port of the platform's service");

  private DaemonSettingDeclarations() {}

  /** Returns all declarations in the order of docs/SETTINGS.md. */
  public static List<Setting<?>> all() {
    return List.of(
        INSTANCE_NAME,
        REGION,
        AVAILABILITY_ZONE,
        HOST,
        CALLER_PORT,
        CALLER_LISTEN_PORT,
        LOOKUP_LIFETIME,
        BODY_LIMIT_BYTES,
        OPERATOR_PORT,
        OPERATOR_CREDENTIAL,
        PEER_PORT,
        PEER_LISTEN_PORT,
        PEER_SECRET,
        PLATFORM_HOST,
        PLATFORM_PORT);
  }
}
