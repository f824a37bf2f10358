package org.corianderweir.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.logic.platform.MetadataStore;
import org.corianderweir.logic.platform.StoreSchema;
import org.corianderweir.model.timeline.EventCode;

/**
 * Creates the secret of the fleet in the metadata store. If several instances try, the first one
 * succeeds and its secret is used.
 */
final class PeerSecret {
  private static final int LENGTH_BYTES = 24;

  private PeerSecret() {}

  static void create(MetadataStore store, StoreSchema schema, EventLog events) {
    byte[] random = new byte[LENGTH_BYTES];
    new SecureRandom().nextBytes(random);
    String secret = HexFormat.of().formatHex(random);
    store
        .create(schema.peerSecretKey(), secret.getBytes(StandardCharsets.UTF_8))
        .whenComplete(
            (created, failure) -> {
              if (failure != null) {
                events.record(EventCode.PLATFORM_LOST, "peer-secret", "cause=" + failure);
              }
            });
  }
}
