package org.corianderweir.logic.platform;

import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficConfiguration;

/** The meaning of an item in the store. */
public sealed interface DecodedItem {
  /** The configuration that the operators want in force. */
  record ConfigurationItem(TrafficConfiguration configuration) implements DecodedItem {}

  /** A backend server. */
  record ServerItem(ServerRegistration server) implements DecodedItem {}

  /** Nothing more may be sent to the servers of a zone. */
  record EvacuationItem(String zone) implements DecodedItem {}

  /** An entry instance. */
  record MemberItem(FleetMember member) implements DecodedItem {}

  /** The secret that entry instances prove to each other. */
  record PeerSecretItem(String secret) implements DecodedItem {}

  /** An item that can't be read; it says nothing. */
  record Unreadable(String key, String reason) implements DecodedItem {}

  /** An item that is of no concern here. */
  record Ignored() implements DecodedItem {}
}
