package org.corianderweir.logic.platform;

import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficConfiguration;

/** A decoded item of the metadata store. */
public sealed interface DecodedItem {
  /** The configuration that the operators wrote. */
  record ConfigurationItem(TrafficConfiguration configuration) implements DecodedItem {}

  /** The registration of a backend server. */
  record ServerItem(ServerRegistration server) implements DecodedItem {}

  /** An evacuated availability zone: no requests may be sent to its servers. */
  record EvacuationItem(String zone) implements DecodedItem {}

  /** The registration of an entry instance. */
  record MemberItem(FleetMember member) implements DecodedItem {}

  /** The secret by which entry instances authenticate to each other. */
  record PeerSecretItem(String secret) implements DecodedItem {}

  /** An item that could not be decoded. */
  record Unreadable(String key, String reason) implements DecodedItem {}

  /** An item that entry instances do not use. */
  record Ignored() implements DecodedItem {}
}
