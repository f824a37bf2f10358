package org.corianderweir.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.topology.EntryInstance;

/** Writes the settings file of an entry instance. */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Writes the settings file {@code NAME.ini} of an instance and returns its path.
   *
   * @param advertised instance with the addresses at which others reach it
   * @param listening instance with the addresses that it listens on
   */
  public static Path write(
      Path directory,
      EntryInstance advertised,
      EntryInstance listening,
      HttpAddress platform,
      String credential) {
    String text =
        """
        [instance]
        name = %s
        region = %s
        availability-zone = %s
        host = %s
        [callers]
        port = %d
        listen-port = %d
        [operators]
        port = %d
        credential = %s
        [peers]
        port = %d
        listen-port = %d
        secret = bench-peers
        [platform]
        host = %s
        port = %d
        """
            .formatted(
                advertised.name(),
                advertised.region(),
                advertised.availabilityZone(),
                advertised.host(),
                advertised.callerPort(),
                listening.callerPort(),
                advertised.operatorPort(),
                credential,
                advertised.peerPort(),
                listening.peerPort(),
                platform.host(),
                platform.port());
    try {
      return Files.writeString(directory.resolve(advertised.name() + ".ini"), text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
