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

  /** Writes the file into a directory and returns its path. */
  public static Path write(
      Path directory, EntryInstance instance, HttpAddress platform, String credential) {
    String text =
        """
        [instance]
        name = %s
        region = %s
        availability-zone = %s
        host = %s
        [callers]
        port = %d
        [operators]
        port = %d
        credential = %s
        [peers]
        port = %d
        secret = bench-peers
        [platform]
        host = %s
        port = %d
        """
            .formatted(
                instance.name(),
                instance.region(),
                instance.availabilityZone(),
                instance.host(),
                instance.callerPort(),
                instance.operatorPort(),
                credential,
                instance.peerPort(),
                platform.host(),
                platform.port());
    try {
      return Files.writeString(directory.resolve(instance.name() + ".ini"), text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
