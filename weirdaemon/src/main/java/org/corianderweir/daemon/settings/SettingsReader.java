package org.corianderweir.daemon.settings;

import java.io.File;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.topology.EntryInstance;

/** Reads the settings of a standalone daemon. */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads and validates a settings file.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID}; its message has one line for each
   *     mistake
   */
  public static DaemonSettings read(File path) {
    SettingsFile file = SettingsFile.read(path, DaemonSettingDeclarations.all());
    EntryInstance instance =
        new EntryInstance(
            file.value(DaemonSettingDeclarations.INSTANCE_NAME),
            file.value(DaemonSettingDeclarations.REGION),
            file.value(DaemonSettingDeclarations.AVAILABILITY_ZONE),
            file.value(DaemonSettingDeclarations.HOST),
            file.value(DaemonSettingDeclarations.CALLER_PORT),
            file.value(DaemonSettingDeclarations.OPERATOR_PORT),
            file.value(DaemonSettingDeclarations.PEER_PORT));
    HttpAddress platformAddress =
        new HttpAddress(
            file.value(DaemonSettingDeclarations.PLATFORM_HOST),
            file.value(DaemonSettingDeclarations.PLATFORM_PORT));
    return new DaemonSettings(
        instance,
        listenPorts(file, instance),
        platformAddress,
        file.value(DaemonSettingDeclarations.OPERATOR_CREDENTIAL),
        file.value(DaemonSettingDeclarations.PEER_SECRET),
        file.value(DaemonSettingDeclarations.LOOKUP_LIFETIME),
        file.value(DaemonSettingDeclarations.BODY_LIMIT_BYTES));
  }

  private static DaemonSettings.ListenPorts listenPorts(SettingsFile file, EntryInstance instance) {
    int callers = file.value(DaemonSettingDeclarations.CALLER_LISTEN_PORT);
    int peers = file.value(DaemonSettingDeclarations.PEER_LISTEN_PORT);
    return new DaemonSettings.ListenPorts(
        callers == 0 ? instance.callerPort() : callers, peers == 0 ? instance.peerPort() : peers);
  }
}
